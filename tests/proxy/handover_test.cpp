// SPDX-License-Identifier: Apache-2.0
//
// Both sides of a handover on real sockets, with the event loop run step by step: what the successor gets and
// when, from a predecessor of this version, of an older one, and from one that fails half way.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "proxy/handover/handover_client.h"
#include "proxy/handover/handover_server.h"
#include "support/sockets.h"

namespace copperpoint::testing {
namespace {

using namespace proxy;
using std::chrono::milliseconds;

EndpointListMessage ListMessage(std::uint64_t revision) {
  HandedOverEndpoints endpoints;
  endpoints.list.revision = revision;
  endpoints.list.complete = true;
  endpoints.received_at = Steady::now();
  return std::move(*EncodeEndpointListMessage(endpoints));
}

std::string RevisionOf(const ReceivedMessage& message) {
  std::string error;
  const auto endpoints = DecodeEndpointListMessage(message, &error);
  return endpoints ? "list " + std::to_string(endpoints->list.revision) : error;
}

// Records what the successor's side is told, in order.
struct SuccessorEvents : HandoverClient::Observer {
  void OnListenerReceived(OwnedDescriptor, const std::string& state) override {
    events.push_back("listener " + state);
  }
  void OnHandoverFailed(HandoverError error) override {
    events.push_back(std::string("failed ").append(NameOf(error)));
  }
  void OnPredecessorEndpoints(const ReceivedMessage& message) override {
    events.push_back(RevisionOf(message));
  }
  void OnPredecessorReloaded(const DiscoveryReload& reload) override {
    events.push_back("discovery at " + FormatHostPort(reload.address));
  }
  void OnDescriptorReport(const DescriptorReport& report) override {
    events.push_back("descriptors " + std::to_string(report.descriptors));
  }
  void OnPredecessorExited() override { events.emplace_back("predecessor exited"); }

  std::vector<std::string> events;
};

struct PredecessorEvents : HandoverServer::Delegate {
  std::optional<HandoverServer::Grant> OnListenerRequested() override {
    HandoverServer::Grant grant{listener, HandoverState{7, {}}, std::nullopt};
    if (revision) grant.endpoint_list = ListMessage(*revision);
    return grant;
  }
  void OnSuccessorEndpoints(const ReceivedMessage& message) override {
    events.push_back(RevisionOf(message));
  }
  void OnSuccessorExited() override { events.emplace_back("successor exited"); }

  int listener = OwnedDescriptor::kNone;
  std::optional<std::uint64_t> revision;
  std::vector<std::string> events;
};

constexpr char kState[] = R"(listener {"descriptors":7,"learnt":[]})";
constexpr char kStateBeforeList[] = R"(listener {"descriptors":7,"endpoint_list_follows":true,"learnt":[]})";

struct HandoverFixture : ::testing::Test {
  HandoverFixture() : acceptor(io, kAnyPort), path(folder.path + "/handover.sock") {
    predecessor.listener = acceptor.native_handle();
  }
  // Runs the event loop until `condition` holds.
  bool RunUntil(const std::function<bool()>& condition) {
    const auto until = Steady::now() + kWaitTimeout;
    while (!condition()) {
      if (Steady::now() > until) return false;
      io.restart();
      io.run_one_for(milliseconds(50));
    }
    return true;
  }
  bool RunUntilEvents(std::size_t n) {
    return RunUntil([&] { return successor.events.size() >= n; });
  }
  std::unique_ptr<HandoverServer> NewServer() {
    HandoverServer::Delegate& delegate = predecessor;
    return std::make_unique<HandoverServer>(io, path, acceptor.local_endpoint(), delegate);
  }
  std::unique_ptr<HandoverClient> NewClient() {
    auto client = HandoverClient::Connect(io, path, successor);
    EXPECT_TRUE(client);
    client->RequestListener(acceptor.local_endpoint(), kWaitTimeout);
    return client;
  }

  asio::io_context io;
  Tcp::acceptor acceptor;
  TemporaryFolder folder;
  std::string path;
  SuccessorEvents successor;
  PredecessorEvents predecessor;
};

// A predecessor whose messages the test sends by hand, as an older version or a failing one would.
struct ScriptedPredecessorFixture : HandoverFixture {
  ScriptedPredecessorFixture() : server(io), connection(io) {
    server.open(SeqPacketProtocol());
    server.bind(SeqPacketProtocol::endpoint(path));
    server.listen();
    client = NewClient();
    server.accept(connection);
  }
  // Reads the request first: a connection that is closed with unread bytes is reset, and its messages are
  // lost.
  void SendState(bool endpoint_list_follows) {
    ReceivedMessage request;
    ASSERT_FALSE(ReceiveMessage(connection, &request));
    ASSERT_EQ(request.text, EncodeListenerRequest(acceptor.local_endpoint()));
    HandoverState state{7, {}};
    state.endpoint_list_follows = endpoint_list_follows;
    ASSERT_FALSE(SendMessage(connection, EncodeHandoverState(state), acceptor.native_handle()));
  }
  void SendList(std::uint64_t revision) {
    const EndpointListMessage list = ListMessage(revision);
    ASSERT_FALSE(SendMessage(connection, list.text, list.contents.get()));
  }

  SeqPacketProtocol::acceptor server;
  SeqPacketProtocol::socket connection;
  std::unique_ptr<HandoverClient> client;
};

using Handover = HandoverFixture;
using HandoverFromScript = ScriptedPredecessorFixture;
using Events = std::vector<std::string>;

// The successor served with the list of its configuration, though the predecessor had been told a newer one.
TEST_F(Handover, EndpointListArrivesBeforeTheListener) {
  predecessor.revision = 43;
  const auto server = NewServer();
  const auto client = NewClient();
  ASSERT_TRUE(RunUntilEvents(2));
  EXPECT_EQ(successor.events, (Events{"list 43", kStateBeforeList}));
}

TEST_F(Handover, PredecessorWithoutAListHandsOverAtOnce) {
  const auto server = NewServer();
  const auto client = NewClient();
  ASSERT_TRUE(RunUntilEvents(1));
  EXPECT_EQ(successor.events, Events{kState});
}

TEST_F(Handover, ListsThatChangeLaterAreSentBothWays) {
  predecessor.revision = 43;
  const auto server = NewServer();
  EXPECT_FALSE(server->CanSendEndpointList());
  const auto client = NewClient();
  EXPECT_FALSE(client->CanSendEndpointList());
  ASSERT_TRUE(RunUntilEvents(2));
  ASSERT_TRUE(server->CanSendEndpointList());
  EXPECT_TRUE(server->SendEndpointList(ListMessage(44)));
  ASSERT_TRUE(client->CanSendEndpointList());
  EXPECT_TRUE(client->SendEndpointList(ListMessage(45)));
  ASSERT_TRUE(RunUntil([&] { return successor.events.size() == 3 && predecessor.events.size() == 1; }));
  EXPECT_EQ(successor.events.back(), "list 44");
  EXPECT_EQ(predecessor.events, Events{"list 45"});
}

TEST_F(Handover, AddressOfAReloadReachesTheSuccessorOnceItHasTakenOver) {
  const DiscoveryReload reload{*ParseHostPort("127.0.0.1:8500"), Steady::now()};
  const auto server = NewServer();
  EXPECT_FALSE(server->SendDiscoveryReload(reload)) << "there is no successor";
  const auto client = NewClient();
  ASSERT_TRUE(RunUntilEvents(1));
  EXPECT_TRUE(server->SendDiscoveryReload(reload));
  ASSERT_TRUE(RunUntilEvents(2));
  EXPECT_EQ(successor.events.back(), "discovery at 127.0.0.1:8500");
}

// A successor that is held up does not read: only one list is under way at a time.
TEST_F(Handover, NoFurtherListIsSentUntilTheSuccessorHasReadTheLast) {
  predecessor.revision = 43;
  const auto server = NewServer();
  const auto client = NewClient();
  ASSERT_TRUE(RunUntilEvents(2));
  EXPECT_TRUE(server->SendEndpointList(ListMessage(44)));
  EXPECT_FALSE(server->CanSendEndpointList());
  ASSERT_TRUE(RunUntilEvents(3));
  EXPECT_TRUE(server->CanSendEndpointList());
}

TEST_F(Handover, PredecessorServesAgainAfterTheSuccessorHasHandedAListBack) {
  const auto server = NewServer();
  auto client = NewClient();
  ASSERT_TRUE(RunUntilEvents(1));
  EXPECT_TRUE(client->SendEndpointList(ListMessage(45)));
  client.reset();
  ASSERT_TRUE(RunUntil([&] { return predecessor.events.size() == 2; }));
  EXPECT_EQ(predecessor.events, (Events{"list 45", "successor exited"}));
}

// An older predecessor announces no list and never sends one.
TEST_F(HandoverFromScript, OlderPredecessorDoesNotDelayTheSuccessor) {
  SendState(/*endpoint_list_follows=*/false);
  ASSERT_TRUE(RunUntilEvents(1));
  EXPECT_EQ(successor.events, Events{kState});
  ASSERT_FALSE(SendMessage(connection, EncodeDescriptorReport({9})));
  ASSERT_TRUE(RunUntilEvents(2));
  EXPECT_EQ(successor.events.back(), "descriptors 9");
}

// The predecessor is held up between its two messages.
TEST_F(HandoverFromScript, AnnouncedListThatDoesNotComeDelaysTheSuccessorShortly) {
  SendState(/*endpoint_list_follows=*/true);
  const auto sent_at = Steady::now();
  ASSERT_TRUE(RunUntilEvents(1));
  EXPECT_GE(Steady::now() - sent_at, milliseconds(90)) << "it was not awaited";
  EXPECT_EQ(successor.events, Events{kStateBeforeList});
  SendList(43);
  ASSERT_TRUE(RunUntilEvents(2));
  EXPECT_EQ(successor.events.back(), "list 43") << "it is used when it arrives";
}

TEST_F(HandoverFromScript, MalformedListDoesNotKeepTheListenerBack) {
  SendState(/*endpoint_list_follows=*/true);
  ASSERT_FALSE(SendMessage(connection, R"({"endpoint_list":{}})"));
  ASSERT_TRUE(RunUntilEvents(2));
  EXPECT_NE(successor.events[0].find("received_at_ns"), std::string::npos) << successor.events[0];
  EXPECT_EQ(successor.events[1], kStateBeforeList);
}

// The predecessor is killed between its two messages.
TEST_F(HandoverFromScript, PredecessorThatEndsBeforeItsListHasHandedOver) {
  SendState(/*endpoint_list_follows=*/true);
  connection.close();
  ASSERT_TRUE(RunUntilEvents(2));
  EXPECT_EQ(successor.events, (Events{kStateBeforeList, "predecessor exited"}));
}

// The predecessor is killed before it has answered.
TEST_F(HandoverFromScript, PredecessorThatEndsBeforeItAnswersHasNotHandedOver) {
  connection.close();
  ASSERT_TRUE(RunUntilEvents(1));
  EXPECT_EQ(successor.events, Events{"failed predecessor_closed"});
}

TEST_F(HandoverFromScript, MessagesOfALaterVersionAreIgnored) {
  SendState(/*endpoint_list_follows=*/true);
  ASSERT_FALSE(SendMessage(connection, R"({"something_new":1})"));
  SendList(43);
  ASSERT_FALSE(SendMessage(connection, R"({"something_new":2})"));
  ASSERT_FALSE(SendMessage(connection, EncodeDescriptorReport({9})));
  ASSERT_TRUE(RunUntilEvents(3));
  EXPECT_EQ(successor.events, (Events{"list 43", kStateBeforeList, "descriptors 9"}));
}

// An older successor takes the first message for the listener and its state, and ignores every later one that
// is no report of descriptors.
TEST_F(Handover, OlderSuccessorGetsItsStateFirst) {
  predecessor.revision = 43;
  const auto server = NewServer();
  SeqPacketProtocol::socket older(io);
  older.connect(SeqPacketProtocol::endpoint(path));
  ASSERT_FALSE(SendMessage(older, EncodeListenerRequest(acceptor.local_endpoint())));
  ReceivedMessage state, list;
  ASSERT_TRUE(RunUntil([&] { return !ReceiveMessage(older, &state); }));
  EXPECT_NE(state.descriptor.get(), OwnedDescriptor::kNone);
  const DecodedHandoverState decoded =
      DecodeHandoverState(state.text, [](const std::string&) { return true; });
  EXPECT_EQ(decoded.descriptors, 7);
  EXPECT_EQ(decoded.error, "");
  ASSERT_TRUE(RunUntil([&] { return !ReceiveMessage(older, &list); }));
  EXPECT_FALSE(DecodeDescriptorReport(list.text).has_value());
}

}  // namespace
}  // namespace copperpoint::testing
