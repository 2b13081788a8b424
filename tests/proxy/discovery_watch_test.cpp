// SPDX-License-Identifier: Apache-2.0
//
// Watches of discovery: messages, timeouts, and the time within which a change is applied despite failures.
#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "proxy/discovery/discovery_client.h"
#include "support/scripted_discovery.h"

namespace copperpoint::testing {
namespace {

using std::chrono::milliseconds;

TEST(WatchMessages, AppliesIndentedList) {
  ScriptedDiscovery fake({[](Tcp::socket& s) {
    ScriptedDiscovery::Open(s);
    for (const char byte : List(42, Members(kMember("s-1")), true, 2) + "\n")
      SendRaw(s, Chunk(std::string(1, byte)));
    SendRaw(s, Chunk("\n") + Chunk(List(43, Members(kMember("s-2")), false, 4) + "\n"));
    ReadToEnd(s);
  }});
  WatchingClient watch(fake.address());
  watch.Start();
  ASSERT_TRUE(watch.WaitForLists(2));
  EXPECT_EQ(watch.lists.Get()[1].endpoints[0].id, "s-2");
  EXPECT_EQ(fake.calls.Get().size(), 1u);
}

TEST(WatchMessages, AppliesLastLineInTheSegmentOfTheEnd) {
  for (const std::string& end : {std::string("\n"), std::string()}) {
    for (const bool cleanly : {true, false}) {
      ScriptedDiscovery fake({[&](Tcp::socket& s) {
        SendRaw(s, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                       Chunk(List(42, Members(kMember("s-1"))) + end) + (cleanly ? "0\r\n\r\n" : ""));
      }});
      WatchingClient watch(fake.address());
      watch.Start();
      EXPECT_TRUE(watch.WaitForLists(1));
      EXPECT_TRUE(fake.WaitForCalls(2));
      EXPECT_EQ(fake.calls.Get()[1], "/v1/endpoints?stream=1&index=42");
    }
  }
}

TEST(WatchMessages, IgnoresObjectFollowedByMoreOnItsLine) {
  ScriptedDiscovery fake({[](Tcp::socket& s) {
    ScriptedDiscovery::Open(s);
    SendRaw(s, Chunk(List(42) + "}\n"));
    ReadToEnd(s);
  }});
  WatchingClient watch(fake.address());
  watch.Start();
  ASSERT_TRUE(fake.WaitForCalls(2));
  EXPECT_TRUE(watch.lists.Get().empty());
}

TEST(WatchIdleTimeout, BytesWithoutAMessageDoNotExtendIt) {
  ScriptedDiscovery fake({[](Tcp::socket& s) {
    ScriptedDiscovery::Open(s);
    SendRaw(s, Chunk("{\"revision\":42,"));
    error_code failed;
    while (!failed) {
      asio::write(s, asio::buffer(Chunk(" ")), failed);
      SleepWithoutPolling(milliseconds(5));
    }
  }});
  WatchingClient watch(fake.address());
  watch.options.idle_timeout = milliseconds(200);
  watch.Start();
  EXPECT_TRUE(fake.WaitForCalls(2));
}

TEST(WatchIdleTimeout, ListThatKeepsArrivingIsReadCompletely) {
  std::vector<nlohmann::json> members;
  for (int i = 0; i < 8000; ++i) members.push_back(kMember((Numbered("s-", i)).c_str()));
  const std::string list = List(42, members);
  ScriptedDiscovery fake({[&](Tcp::socket& s) {
    ScriptedDiscovery::Open(s);
    const std::size_t piece = list.size() / 8 + 1;
    for (std::size_t at = 0; at < list.size(); at += piece) {
      SendRaw(s, Chunk(list.substr(at, piece)));
      SleepWithoutPolling(milliseconds(100));
    }
    SendRaw(s, Chunk("\n"));
    ReadToEnd(s);
  }});
  WatchingClient watch(fake.address());
  watch.options.idle_timeout = milliseconds(700);
  watch.Start();
  ASSERT_TRUE(watch.WaitForLists(1));
  EXPECT_EQ(watch.lists.Get()[0].endpoints.size(), 8000u);
}

TEST(WatchIdleTimeout, ConnectTimeoutIsShorter) {
  FullBacklogListener held;
  WatchingClient watch(held.address());
  watch.options.reconnect = proxy::DiscoveryClient::Reconnect::kOnRequest;
  watch.options.idle_timeout = std::chrono::minutes(10);
  watch.options.connect_timeout = milliseconds(50);
  watch.Start();
  EXPECT_TRUE(watch.failures.WaitFor([](int n) { return n >= 2; }));
}

// With the default timeouts: the watch falls silent, the call after its idle timeout gets 503, and a change
// that was made when the watch fell silent is still applied within 6 s of that.
TEST(WatchBound, ChangeIsAppliedWithinSixSecondsDespiteFailures) {
  for (const auto reconnect :
       {proxy::DiscoveryClient::Reconnect::kAutomatic, proxy::DiscoveryClient::Reconnect::kOnRequest}) {
    WaitableValue<std::chrono::steady_clock::time_point> silent_since;
    ScriptedDiscovery fake(
        {[&](Tcp::socket& s) {
           ScriptedDiscovery::Open(s);
           SendRaw(s, Chunk("\n"));
           silent_since.Update([](auto& t) { t = std::chrono::steady_clock::now(); });
           ReadToEnd(s);
         },
         [](Tcp::socket& s) { SendRaw(s, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"); },
         [](Tcp::socket& s) {
           ScriptedDiscovery::Open(s);
           SendRaw(s, Chunk(List(42, Members(kMember("s-1", "terminating")), false) + "\n"));
           ReadToEnd(s);
         }});
    WatchingClient watch(fake.address());
    watch.options.reconnect = reconnect;
    watch.Start();
    ASSERT_TRUE(watch.WaitForLists(1));
    EXPECT_LE(std::chrono::steady_clock::now() - silent_since.Get(), std::chrono::seconds(6));
  }
}

TEST(WatchBound, TimeoutsAddUpToLessThanSixSeconds) {
  const proxy::DiscoveryClient::Options options;
  // Two connects that time out, one after the silence and one at the return, with the longest backoff
  // between.
  EXPECT_LE(options.idle_timeout + 2 * options.connect_timeout + std::chrono::milliseconds(1000 - 500),
            std::chrono::seconds(6));
  EXPECT_GT(options.idle_timeout, std::chrono::seconds(2)) << "a heartbeat may be a little late";
  // A call without a response, and the longest backoff after it.
  EXPECT_LT(options.first_message_timeout + std::chrono::milliseconds(1000), std::chrono::seconds(6));
  EXPECT_GT(options.first_message_timeout, options.idle_timeout) << "calls wait their turn";
  // After a migration there are 4 s: two connects in a row that time out have to fit into them.
  EXPECT_LE(2 * options.connect_timeout, std::chrono::seconds(3));
  // A call without a response leaves time for another one.
  EXPECT_LT(options.first_message_timeout_after_reload + proxy::ReconnectBackoff::kMin, options.reload_bound);
  EXPECT_EQ(options.reload_bound, std::chrono::seconds(4));
}

TEST(DiscoveryWatch, ReconnectsWithoutHeartbeat) {
  FakeDiscovery fake;
  asio::io_context io(1);
  proxy::DiscoveryClient::Options options;
  options.address = fake.address();
  options.revision = 7;
  options.idle_timeout = std::chrono::milliseconds(50);
  proxy::DiscoveryClient discovery(
      io, options, [](const proxy::EndpointList&) {}, [] {});
  discovery.Watch();
  std::thread loop([&] { io.run(); });
  EXPECT_TRUE(fake.WaitForWatches(3));
  io.stop();
  loop.join();
}

TEST(DiscoveryWatch, ReportsFailureWithoutReconnectingWherePolled) {
  Tcp::endpoint closed_address;
  {
    FakeDiscovery closed;
    closed_address = closed.address();
  }
  asio::io_context io(1);
  proxy::DiscoveryClient::Options options;
  options.address = closed_address;
  options.reconnect = proxy::DiscoveryClient::Reconnect::kOnRequest;
  int failures = 0;
  proxy::DiscoveryClient discovery(
      io, options, [](const proxy::EndpointList&) {}, [&] { ++failures; });
  discovery.Watch();
  io.run();  // returns, since the client does not reconnect by itself
  EXPECT_EQ(failures, 1);
}

}  // namespace
}  // namespace copperpoint::testing
