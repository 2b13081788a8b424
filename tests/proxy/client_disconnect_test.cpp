// SPDX-License-Identifier: Apache-2.0
//
// Clients that disconnect: no attempt may start for them, whatever they have sent and in whichever state
// their request is.
#include <gtest/gtest.h>

#include <boost/beast/http/parser.hpp>
#include <cstdio>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "support/scripted.h"

namespace copperpoint::testing {
namespace {

// A proxy whose backend never accepts connections, with a connect timeout longer than any test.
struct UnreachableBackendSetup : ProxySetup {
  explicit UnreachableBackendSetup(const FullBacklogListener& listener)
      : ProxySetup(Members(MemberJson("s-1", listener.address()))) {
    config["settings"]["permissions"]["connectTimeoutMs"] = 600000.0;
    Start();
  }
  bool WaitUntilConnecting() {
    return proxy->WaitUntil([](proxy::Proxy& p) { return p.backend_connections() == 1; });
  }
  // Waits until the disconnect is detected and the attempt is cancelled.
  bool WaitUntilAllReleased() {
    return proxy->WaitUntil([](proxy::Proxy& p) {
      return p.client_connections() == 0 && p.open_requests() == 0 && p.backend_connections() == 0;
    });
  }
};

// Sends `request`, sends `more` once its attempt is connecting, disconnects, and expects everything released.
void ExpectAllReleased(const std::string& request, const std::string& more = "") {
  FullBacklogListener listener;
  UnreachableBackendSetup setup(listener);
  {
    Client client(setup.proxy->address);
    client.Send(request);
    ASSERT_TRUE(setup.WaitUntilConnecting());
    client.Send(more);
  }
  EXPECT_TRUE(setup.WaitUntilAllReleased());
}

TEST(ClientDisconnected, CancelsAttemptThatIsConnecting) { ExpectAllReleased(BookRequest()); }
TEST(ClientDisconnected, IsDetectedBehindAPipelinedRequest) {
  ExpectAllReleased(BookRequest() + WithRequestId(BookRequest(), "next"));
}
TEST(ClientDisconnected, IsDetectedBehindAFlood) {
  ExpectAllReleased(BookRequest(), std::string(2 * 1024 * 1024, 'x'));
}

std::string ChunkedRequest(const std::string& body) {
  char size[24];
  std::snprintf(size, sizeof size, "%zx\r\n", body.size());
  return "POST /book HTTP/1.1\r\nReq-Id: 0c\r\nReq-Kind: book\r\nTransfer-Encoding: chunked\r\n\r\n" +
         std::string(size) + body + "\r\n0\r\n\r\n";
}

constexpr std::size_t kLargeBodyBytes = 3 * 1000 * 1000;

// Guards against a booking being run for a client that has gone: while its large request waited for an
// attempt, nothing read from the connection, and the end behind the body was not seen.
TEST(ClientDisconnected, IsDetectedBehindALargeBody) {
  ExpectAllReleased(PostRequest("book", "", std::string(kLargeBodyBytes, 'x')));
  ExpectAllReleased(ChunkedRequest(std::string(kLargeBodyBytes, 'x')));
}
TEST(ClientDisconnected, IsDetectedWithinALargeBody) {
  ExpectAllReleased(
      PostRequest("book", "", std::string(kLargeBodyBytes, 'x')).substr(0, kLargeBodyBytes / 2));
}
TEST(ClientDisconnected, IsDetectedBehindARequestThatFollowsALargeBody) {
  ExpectAllReleased(PostRequest("book", "", std::string(kLargeBodyBytes, 'x')) +
                    WithRequestId(BookRequest(), "next"));
}

// A large request whose attempt is connecting for a second, more than an attempt may begin after its client
// has disconnected.
struct LateConnection {
  // @param memory_mb of which a quarter is for bodies.
  explicit LateConnection(int memory_mb) : setup(Members(MemberJson("s-1", listener.address()))) {
    setup.config["limits"]["memory_mb"] = memory_mb;
    setup.config["settings"]["permissions"]["connectTimeoutMs"] = 600000.0;
    setup.Start();
    client = std::make_unique<Client>(setup.proxy->address);
    client->Send(PostRequest("book", "", std::string(kLargeBodyBytes, 'x')));
    EXPECT_TRUE(setup.proxy->WaitUntil([](proxy::Proxy& p) { return p.backend_connections() == 1; }));
  }
  std::optional<Tcp::socket> Accept() {
    return listener.AcceptUnless([] { return false; });
  }

  FullBacklogListener listener;
  ProxySetup setup;
  std::unique_ptr<Client> client;
};

constexpr int kTooLittleMemoryMb = 8, kEnoughMemoryMb = 64;

// Guards against the same where memory does not allow to read up to the end: the attempt must not begin, as
// the client may have left long ago.
TEST(ClientDisconnected, LargeRequestOfUnconfirmedClientIsNotForwarded) {
  LateConnection late(kTooLittleMemoryMb);
  late.client.reset();
  auto peer = late.Accept();
  ASSERT_TRUE(peer);
  EXPECT_EQ(ReadToEnd(*peer).bytes, "");
  EXPECT_TRUE(late.setup.proxy->WaitUntilNoOpenRequests());
}

TEST(ClientDisconnected, LargeRequestOfUnconfirmedClientIsRejectedWithoutEffect) {
  LateConnection late(kTooLittleMemoryMb);
  auto peer = late.Accept();
  ASSERT_TRUE(peer);
  EXPECT_EQ(late.client->Read().result_int(), 503u);
  EXPECT_EQ(ReadToEnd(*peer).bytes, "");
}

// What remains allowed: a client that stays is served, where memory allows to confirm that.
TEST(ClientDisconnected, LargeRequestOfConnectedClientIsForwardedAfterALateConnection) {
  LateConnection late(kEnoughMemoryMb);
  auto peer = late.Accept();
  ASSERT_TRUE(peer);
  boost::beast::flat_buffer buffer;
  http::request_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  http::read(*peer, buffer, parser);
  EXPECT_EQ(parser.get().body().size(), kLargeBodyBytes);
  SendRaw(*peer, OkResponse("served"));
  EXPECT_EQ(late.client->Read().body(), "served");
}

// What remains allowed: where memory is short, an attempt that begins at once.
TEST(ClientDisconnected, LargeRequestIsForwardedAtOnceWithLittleMemory) {
  Backend backend;
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.config["limits"]["memory_mb"] = kTooLittleMemoryMb;
  setup.Start();
  Client client(setup.proxy->address);
  for (int i = 0; i < 2; ++i)
    EXPECT_EQ(client.SendAndRead(PostRequest("book", "", std::string(kLargeBodyBytes, 'x'))).body(),
              "served");
}

TEST(ClientDisconnected, IsDetectedByAReset) {
  FullBacklogListener listener;
  UnreachableBackendSetup setup(listener);
  Client client(setup.proxy->address);
  client.Send(BookRequest() + WithRequestId(BookRequest(), "next"));
  ASSERT_TRUE(setup.WaitUntilConnecting());
  CloseWithReset(client.socket);
  EXPECT_TRUE(setup.WaitUntilAllReleased());
}

TEST(ClientDisconnected, ManyAtOnceAreAllReleased) {
  FullBacklogListener listener;
  UnreachableBackendSetup setup(listener);
  {
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 0; i < 100; ++i) {
      clients.push_back(std::make_unique<Client>(setup.proxy->address));
      clients.back()->Send(WithRequestId(BookRequest(), Numbered("r", i)));
    }
    ASSERT_TRUE(setup.proxy->WaitUntil([](proxy::Proxy& p) { return p.open_requests() == 100; }));
  }
  EXPECT_TRUE(setup.WaitUntilAllReleased());
}

TEST(ClientDisconnected, FloodBehindARequestGetsItsResponseAndTheEnd) {
  WaitableValue<bool> release;
  Backend backend([&](Tcp::socket& s, const HttpRequest&) {
    release.WaitFor([](bool r) { return r; });
    SendRaw(s, OkResponse("served"));
    return true;
  });
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.Start();
  Client client(setup.proxy->address);
  client.Send(BookRequest());
  ASSERT_TRUE(backend.WaitForRequests(1));
  client.Send(std::string(1024 * 1024, 'x'));
  release.Update([](bool& r) { r = true; });
  const HttpResponse response = client.Read();
  EXPECT_EQ(response.body(), "served");
  EXPECT_FALSE(response.keep_alive());
  EXPECT_EQ(ReadToEnd(client.socket).error, asio::error::eof);
}

TEST(ClientDisconnected, WrittenAttemptStillReports) {
  WaitableValue<bool> release;
  Backend backend([&](Tcp::socket& s, const HttpRequest&) {
    release.WaitFor([](bool r) { return r; });
    SendRaw(s, OkResponse("not received"));
    return true;
  });
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.timeouts.reuse_delay = {};
  setup.Start();
  {
    Client client(setup.proxy->address);
    client.Send(BookRequest());
    ASSERT_TRUE(backend.WaitForRequests(1));
  }
  release.Update([](bool& r) { r = true; });
  EXPECT_TRUE(setup.proxy->WaitUntilNoOpenRequests());
  // The attempt read its response completely, so that the connection is reused.
  Client next(setup.proxy->address);
  EXPECT_EQ(next.SendAndRead(BookRequest()).body(), "not received");
  EXPECT_EQ(backend.activity.Get().opened, 1);
}

}  // namespace
}  // namespace copperpoint::testing
