// SPDX-License-Identifier: Apache-2.0
//
// After a reload the list has to be current within 4 s, whatever discovery rejects meanwhile: the backoff
// between calls, and who repeats a rejected call.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "proxy/discovery/discovery_client.h"
#include "proxy/discovery/reconnect_backoff.h"
#include "support/scripted_discovery.h"

namespace copperpoint::testing {
namespace {

using proxy::ReconnectBackoff;
using std::chrono::milliseconds;

constexpr milliseconds kBound{4000};  // from a reload until the list has to be current
const char* const kRejection = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

// The times at which calls begin, from the reload on, if each is rejected after `rejected_after`.
std::vector<proxy::Steady::duration> CallTimes(std::uint64_t seed, milliseconds rejected_after) {
  ReconnectBackoff backoff(seed);
  std::vector<proxy::Steady::duration> calls{milliseconds(0)};
  while (calls.back() + rejected_after < kBound) {
    const auto rejected_at = calls.back() + rejected_after;
    calls.push_back(rejected_at + backoff.Next(kBound - rejected_at));
  }
  return calls;
}

// Discovery answers one in four calls and rejects the others after 1 s each: the fourth call is answered in
// time.
TEST(ReloadBackoff, FourthCallBeginsWellBeforeTheBoundDespiteSlowRejections) {
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    const auto calls = CallTimes(seed, milliseconds(1000));
    ASSERT_GE(calls.size(), 4u);
    EXPECT_LE(calls[3], 3 * milliseconds(1000) + milliseconds(50 + 100 + 200));
  }
}

// Rejections at once: the calls become more frequent towards the bound, but stay few.
TEST(ReloadBackoff, DelayIsAtMostHalfOfWhatIsLeft) {
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    const auto calls = CallTimes(seed, milliseconds(0));
    for (std::size_t i = 0; i + 1 < calls.size(); ++i) {
      const proxy::Steady::duration left = kBound - calls[i];
      EXPECT_LE(calls[i + 1] - calls[i], std::max<proxy::Steady::duration>(left / 2, ReconnectBackoff::kMin));
    }
    EXPECT_LE(calls.size(), 24u);
  }
}

TEST(ReloadBackoff, WithoutABoundItGrowsToASecondAndKeepsHalfAsJitter) {
  ReconnectBackoff backoff(7);
  milliseconds longest = ReconnectBackoff::kMin;
  for (int failure = 0; failure < 20; ++failure) {
    const auto delay = backoff.Next(proxy::Steady::duration::zero());
    EXPECT_GE(delay, longest / 2);
    EXPECT_LE(delay, longest);
    longest = std::min(longest * 2, ReconnectBackoff::kMax);
  }
  backoff.Reset();
  EXPECT_LE(backoff.Next(proxy::Steady::duration::zero()), ReconnectBackoff::kMin);
}

void Reject(Tcp::socket& socket) { SendRaw(socket, kRejection); }

ScriptedDiscovery::Script Snapshot(std::string list) {
  return [list = std::move(list)](Tcp::socket& socket) {
    SendRaw(socket, OkResponse(list));
    ReadToEnd(socket);
  };
}

// A client that knows revision 41 and watches one discovery, until Move.
struct MovingClient : WatchingClient {
  explicit MovingClient(const Tcp::endpoint& address) : WatchingClient(address) {
    options.revision = 41;
    options.reconnect = proxy::DiscoveryClient::Reconnect::kOnRequest;
    watches_after_failure = false;
  }
  void Move(const Tcp::endpoint& address) {
    asio::post(io, [this, address] { discovery->Reload(address); });
  }
};

const std::string kWatchFrom41 = "/v1/endpoints?stream=1&index=41";
const std::string kSnapshot = "/v1/endpoints";
using Calls = std::vector<std::string>;

// Discovery serves calls one by one: where the first response is a snapshot, a migration costs one call. A
// confirmation, were there one, would be due at once here.
TEST(ReloadOfDiscovery, OneCallMakesTheListCurrent) {
  ScriptedDiscovery before({});
  WaitableValue<bool> snapshot_applied;
  ScriptedDiscovery after({[&](Tcp::socket& s) {
    ScriptedDiscovery::Open(s);
    SendRaw(s, Chunk(List(7, Members(kMember("s-1"))) + "\n"));
    snapshot_applied.WaitFor([](bool done) { return done; });
    SendRaw(s, Chunk(List(8, Members(kMember("s-1", "terminating")), false) + "\n"));
    ReadToEnd(s);
  }});
  MovingClient client(before.address());
  client.options.reload_bound = milliseconds(0);
  client.Start();
  ASSERT_TRUE(before.WaitForCalls(1));
  client.Move(after.address());
  ASSERT_TRUE(client.WaitForLists(1));
  snapshot_applied.Update([](bool& done) { done = true; });
  ASSERT_TRUE(client.WaitForLists(2));
  EXPECT_EQ(client.lists.Get()[1].revision, 8u);
  EXPECT_EQ(after.calls.Get(), Calls{kWatchFrom41});
}

// Where the decision module decides when to poll, it knows nothing of the reload: rejected calls, and a watch
// that ends after its first list, are repeated without it until the change has arrived.
TEST(ReloadOfDiscovery, RejectedCallsAreRepeatedWithoutTheDecisionModule) {
  ScriptedDiscovery before({});
  ScriptedDiscovery after({Reject, Reject, Reject,
                           [](Tcp::socket& s) {
                             ScriptedDiscovery::Open(s);
                             SendRaw(s, Chunk(List(50, Members(kMember("s-1"))) + "\n"));
                           },
                           Reject, Reject,
                           WatchWith(List(51, Members(kMember("s-1", "terminating")), false))});
  MovingClient client(before.address());
  client.Start();
  ASSERT_TRUE(before.WaitForCalls(1));
  client.Move(after.address());
  ASSERT_TRUE(client.WaitForLists(2));
  EXPECT_EQ(client.lists.Get()[1].revision, 51u);
  EXPECT_EQ(client.failures.Get(), 0);
  const std::string from_50 = "/v1/endpoints?stream=1&index=50";
  EXPECT_EQ(after.calls.Get(),
            (Calls{kWatchFrom41, kWatchFrom41, kWatchFrom41, kWatchFrom41, from_50, from_50, from_50}));
}

// The changes since the known revision apply at once. Since revisions of another discovery need not continue
// these, a snapshot confirms the list, and the watch stays open.
TEST(ReloadOfDiscovery, ChangesSinceTheKnownRevisionAreConfirmedByASnapshot) {
  ScriptedDiscovery before({});
  WaitableValue<bool> confirmed;
  ScriptedDiscovery after({[&](Tcp::socket& s) {
                             ScriptedDiscovery::Open(s);
                             SendRaw(s, Chunk(List(42, Members(kMember("s-1")), false) + "\n"));
                             confirmed.WaitFor([](bool done) { return done; });
                             SendRaw(s, Chunk(List(43, Members(kMember("s-3")), false) + "\n"));
                             ReadToEnd(s);
                           },
                           Snapshot(List(42, Members(kMember("s-2"))))});
  MovingClient client(before.address());
  client.options.reload_bound = milliseconds(0);  // so that the confirmation is due at once
  client.Start();
  ASSERT_TRUE(before.WaitForCalls(1));
  client.Move(after.address());
  ASSERT_TRUE(client.WaitForLists(2));
  confirmed.Update([](bool& done) { done = true; });
  ASSERT_TRUE(client.WaitForLists(3));
  const auto lists = client.lists.Get();
  EXPECT_FALSE(lists[0].complete);
  EXPECT_TRUE(lists[1].complete);
  EXPECT_EQ(lists[1].endpoints[0].id, "s-2");
  EXPECT_EQ(lists[2].endpoints[0].id, "s-3");
  EXPECT_EQ(after.calls.Get(), (Calls{kWatchFrom41, kSnapshot}));
}

// A confirmation that is rejected, or older than what the watch has delivered meanwhile, is repeated.
TEST(ReloadOfDiscovery, OutdatedOrRejectedConfirmationIsRepeated) {
  ScriptedDiscovery before({});
  ScriptedDiscovery after({WatchWith(List(45, Members(kMember("s-1")), false)), Reject,
                           Snapshot(List(44, Members(kMember("s-2")))),
                           Snapshot(List(45, Members(kMember("s-3"))))});
  MovingClient client(before.address());
  client.options.reload_bound = milliseconds(0);
  client.Start();
  ASSERT_TRUE(before.WaitForCalls(1));
  client.Move(after.address());
  ASSERT_TRUE(client.WaitForLists(2));
  EXPECT_EQ(client.lists.Get()[1].endpoints[0].id, "s-3");
  EXPECT_EQ(after.calls.Get(), (Calls{kWatchFrom41, kSnapshot, kSnapshot, kSnapshot}));
  EXPECT_EQ(client.failures.Get(), 0);
}

// The watch ends, which the decision module is told, before the confirmation arrives: the module takes that
// for the end of the failure, so that the confirmation has to continue as the watch.
TEST(ReloadOfDiscovery, ConfirmationContinuesAsTheWatchIfThatHasEnded) {
  ScriptedDiscovery before({});
  WaitableValue<bool> failure_reported;
  std::string request_after_snapshot;
  ScriptedDiscovery after({[](Tcp::socket& s) {
                             ScriptedDiscovery::Open(s);
                             SendRaw(s, Chunk(List(42, Members(kMember("s-1")), false) + "\n"));
                           },
                           [&](Tcp::socket& s) {
                             failure_reported.WaitFor([](bool done) { return done; });
                             SendRaw(s, OkResponse(List(42, Members(kMember("s-2")))));
                             boost::beast::flat_buffer buffer;
                             HttpRequest watch;
                             error_code failed;
                             http::read(s, buffer, watch, failed);
                             request_after_snapshot = std::string(watch.target());
                             ScriptedDiscovery::Open(s);
                             SendRaw(s, Chunk(List(43, Members(kMember("s-3")), false) + "\n"));
                             ReadToEnd(s);
                           }});
  MovingClient client(before.address());
  client.options.reload_bound = milliseconds(0);
  client.Start();
  ASSERT_TRUE(before.WaitForCalls(1));
  client.Move(after.address());
  ASSERT_TRUE(client.failures.WaitFor([](int n) { return n == 1; }));
  failure_reported.Update([](bool& done) { done = true; });
  ASSERT_TRUE(client.WaitForLists(3));
  EXPECT_EQ(client.lists.Get()[2].endpoints[0].id, "s-3");
  EXPECT_EQ(request_after_snapshot, "/v1/endpoints?stream=1&index=42");
  EXPECT_EQ(after.calls.Get(), (Calls{kWatchFrom41, kSnapshot}));
}

// The decision module polls while the first call of a migration waits at discovery: that call goes on.
TEST(ReloadOfDiscovery, PollDuringAMigrationDoesNotRepeatItsCall) {
  ScriptedDiscovery before({});
  WaitableValue<bool> polled;
  ScriptedDiscovery after({[&](Tcp::socket& s) {
    polled.WaitFor([](bool done) { return done; });
    ScriptedDiscovery::Open(s);
    SendRaw(s, Chunk(List(42, Members(kMember("s-1"))) + "\n"));
    ReadToEnd(s);
  }});
  MovingClient client(before.address());
  client.Start();
  ASSERT_TRUE(before.WaitForCalls(1));
  client.Move(after.address());
  ASSERT_TRUE(after.WaitForCalls(1));
  asio::post(client.io, [&] {
    client.discovery->Watch();
    polled.Update([](bool& done) { done = true; });
  });
  ASSERT_TRUE(client.WaitForLists(1));
  EXPECT_EQ(after.calls.Get(), Calls{kWatchFrom41});
}

// Changes of a lower revision, or a revision that discovery does not know, do not continue the known list:
// nothing is applied before a snapshot has come.
TEST(ReloadOfDiscovery, AnotherHistoryIsReadFromASnapshot) {
  const ScriptedDiscovery::Script unknown_revision = [](Tcp::socket& s) {
    SendRaw(s, "HTTP/1.1 404 Unknown\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  };
  for (const auto& first_response : {WatchWith(List(7, Members(kMember("s-1")), false)), unknown_revision}) {
    ScriptedDiscovery before({});
    ScriptedDiscovery after({first_response, Snapshot(List(7, Members(kMember("s-2"))))});
    MovingClient client(before.address());
    client.Start();
    ASSERT_TRUE(before.WaitForCalls(1));
    client.Move(after.address());
    ASSERT_TRUE(client.WaitForLists(1));
    EXPECT_TRUE(client.lists.Get()[0].complete);
    EXPECT_EQ(client.lists.Get()[0].endpoints[0].id, "s-2");
    EXPECT_EQ(after.calls.Get(), (Calls{kWatchFrom41, kSnapshot}));
  }
}

// A reload that names the same address bounds the time just the same.
TEST(ReloadOfDiscovery, SameAddressRepeatsARejectedWatchToo) {
  WaitableValue<bool> reloaded;
  ScriptedDiscovery discovery({[&](Tcp::socket& s) {
                                 reloaded.WaitFor([](bool done) { return done; });
                                 Reject(s);
                               },
                               WatchWith(List(42, Members(kMember("s-1"))))});
  MovingClient client(discovery.address());
  client.Start();
  ASSERT_TRUE(discovery.WaitForCalls(1));
  asio::post(client.io, [&] {
    client.discovery->Reload(discovery.address());
    reloaded.Update([](bool& done) { done = true; });
  });
  EXPECT_TRUE(client.WaitForLists(1));
  EXPECT_EQ(client.failures.Get(), 0);
}

// The first call is never answered: it is given up in time for another one, which gets the list.
TEST(ReloadOfDiscovery, CallWithoutAnAnswerIsGivenUpForAnother) {
  ScriptedDiscovery before({});
  ScriptedDiscovery after(
      {[](Tcp::socket& s) { ReadToEnd(s); }, WatchWith(List(8, Members(kMember("s-1"))))});
  MovingClient client(before.address());
  client.options.first_message_timeout = std::chrono::minutes(10);
  client.options.first_message_timeout_after_reload = milliseconds(50);
  client.options.reload_bound = std::chrono::minutes(10);
  client.Start();
  ASSERT_TRUE(before.WaitForCalls(1));
  client.Move(after.address());
  ASSERT_TRUE(client.WaitForLists(1));
  EXPECT_EQ(client.lists.Get()[0].revision, 8u);
}

// Once the time is over, the decision module decides again: nothing is left to call discovery by itself.
TEST(ReloadOfDiscovery, FailureAfterTheBoundIsReportedAndNotRepeated) {
  ScriptedDiscovery discovery({Reject});
  asio::io_context io(1);
  proxy::DiscoveryClient::Options options;
  options.address = discovery.address();
  options.reconnect = proxy::DiscoveryClient::Reconnect::kOnRequest;
  options.reload_bound = milliseconds(0);
  int failures = 0;
  proxy::DiscoveryClient client(
      io, options, [](const proxy::EndpointList&) {}, [&] { ++failures; });
  client.Reload(discovery.address());
  client.Watch();
  io.run();  // returns, since the client does not reconnect by itself
  EXPECT_EQ(failures, 1);
  EXPECT_EQ(discovery.calls.Get().size(), 1u);
}

}  // namespace
}  // namespace copperpoint::testing
