// SPDX-License-Identifier: Apache-2.0
//
// The effect of discovery's endpoint lists on a running proxy and its connections.
#include <gtest/gtest.h>

#include <string>

#include "support/scripted.h"
#include "support/scripted_discovery.h"

namespace copperpoint::testing {
namespace {

TEST(EndpointLists, WatchContinuesFromTheLastAppliedRevision) {
  Backend one("one"), two("two");
  ProxySetup setup(Members(MemberJson("s-1", one.address())));
  setup.Start();
  ASSERT_TRUE(setup.discovery.WaitForWatches(1));
  EXPECT_EQ(setup.discovery.activity.Get().watches[0], "/v1/endpoints?stream=1&index=41");
  Client client(setup.proxy->address);
  EXPECT_EQ(client.SendAndRead(LookRequest()).body(), "one");
  // A draining and a new backend in one update: requests go to the new one, and idle connections close.
  setup.discovery.Push(ListJson(
      43, false, Members(MemberJson("s-1", one.address(), "terminating"), MemberJson("s-2", two.address()))));
  EXPECT_TRUE(one.WaitForClosed(1));
  EXPECT_EQ(client.SendAndRead(LookRequest()).body(), "two");
  setup.discovery.EndWatch();
  ASSERT_TRUE(setup.discovery.WaitForWatches(2));
  EXPECT_EQ(setup.discovery.activity.Get().watches[1], "/v1/endpoints?stream=1&index=43");
  // Endpoints remain in use while discovery is unreachable; a snapshot replaces all.
  EXPECT_EQ(client.SendAndRead(LookRequest()).body(), "two");
  setup.discovery.Push(ListJson(50, true, Members(MemberJson("s-1", one.address()))));
  EXPECT_TRUE(two.WaitForClosed(1));
  EXPECT_EQ(client.SendAndRead(LookRequest()).body(), "one");
}

TEST(EndpointLists, MalformedLineEndsTheWatchOnly) {
  Backend backend;
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.Start();
  std::size_t watches = 1;
  for (const char* line :
       {"{\"revision\":", "[]", "{\"revision\":42}", "{\"revision\":-1,\"members\":7}",
        "{\"revision\":42,\"members\":[{\"id\":5}]}",
        "{\"revision\":42,\"members\":[{\"id\":\"x\",\"phase\":\"odd\",\"host_port\":\"127.0.0.1:1\"}]}",
        "{\"revision\":42,\"members\":[{\"id\":\"x\",\"phase\":\"in_service\",\"host_port\":\"no\"}]}"}) {
    ASSERT_TRUE(setup.discovery.WaitForWatches(watches)) << line;
    setup.discovery.Push(std::string(line));
    ASSERT_TRUE(setup.discovery.WaitForWatches(++watches)) << line;
    EXPECT_EQ(setup.discovery.activity.Get().watches.back(), "/v1/endpoints?stream=1&index=41");
  }
  Client client(setup.proxy->address);
  EXPECT_EQ(client.SendAndRead(LookRequest()).result_int(), 200u);
}

TEST(EndpointLists, RemovedBackendMayLackAnAddress) {
  Backend backend;
  ProxySetup setup(Members(MemberJson("s-1", backend.address())));
  setup.Start();
  nlohmann::json removed{{"id", "s-9"}, {"phase", "terminated"}};
  setup.discovery.Push(
      ListJson(42, false, Members(removed, MemberJson("s-1", backend.address(), "in_service", 1e12))));
  Client client(setup.proxy->address);
  EXPECT_EQ(client.SendAndRead(LookRequest()).result_int(), 200u);
}

TEST(EndpointLists, SnapshotRemovesBackendsItDoesNotList) {
  Backend one("one"), two("two");
  ProxySetup setup(
      Members(MemberJson("s-1", one.address()), MemberJson("s-2", two.address(), "terminating")));
  setup.Start();
  setup.discovery.Push(ListJson(50, true, Members(MemberJson("s-2", two.address()))));
  Client client(setup.proxy->address);
  ASSERT_TRUE(setup.proxy->WaitUntil([](proxy::Proxy& p) { return p.last_revision() == 50; }));
  for (int i = 0; i < 8; ++i)
    EXPECT_EQ(client.SendAndRead(WithRequestId(LookRequest(), Numbered("w", i))).body(), "two");
}

// A request that waits for a connection to a backend is served by another one when that backend drains, and
// the connection attempt is abandoned.
TEST(EndpointLists, DrainingBackendIsReplacedWhileConnecting) {
  FullBacklogListener held;
  Backend other("other");
  ProxySetup setup(Members(MemberJson("s-1", held.address())));
  setup.config["settings"]["permissions"]["connectTimeoutMs"] = 600000.0;
  setup.Start();
  ASSERT_TRUE(setup.discovery.WaitForWatches(1));
  Client client(setup.proxy->address);
  client.Send(BookRequest());
  ASSERT_TRUE(setup.proxy->WaitUntil([](proxy::Proxy& p) { return p.backend_connections() == 1; }));
  setup.discovery.Push(ListJson(
      50, false,
      Members(MemberJson("s-1", held.address(), "terminating"), MemberJson("s-2", other.address()))));
  EXPECT_EQ(client.Read().body(), "other");
  EXPECT_TRUE(setup.proxy->WaitUntil([](proxy::Proxy& p) { return p.backend_connections() == 1; }));
}

// A backend is disabled while the proxy waits to call discovery again: the change was taken for discovery's
// answer, and the proxy never called again.
TEST(EndpointLists, DisablingABackendDuringAnOutageDoesNotEndTheCallsToDiscovery) {
  Backend one("one"), two("two");
  WaitableValue<bool> rejected;
  ScriptedDiscovery discovery(
      {[&](Tcp::socket& socket) {
         SendRaw(socket, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
         ReadToEnd(socket);  // up to the proxy's close, when it waits
         rejected.Update([](bool& done) { done = true; });
       },
       WatchWith(List(42, Members(MemberJson("s-1", one.address()), MemberJson("s-2", two.address()))))});
  ProxySetup setup(Members(MemberJson("s-1", one.address())));
  setup.config["discovery"] = "127.0.0.1:" + std::to_string(discovery.address().port());
  setup.config["settings"]["registryMode"] = "ask";
  setup.config["settings"]["rules"]["mustAskInMs"] = 10000.0;
  setup.Start();
  ASSERT_TRUE(rejected.WaitFor([](bool done) { return done; }));
  setup.proxy->RunOnEventLoop([](proxy::Proxy& p) { return p.Disable("s-1"); });
  ASSERT_TRUE(discovery.WaitForCalls(2));
  ASSERT_TRUE(setup.proxy->WaitUntil([](proxy::Proxy& p) { return p.backends_known() == 2; }));
  Client client(setup.proxy->address);
  EXPECT_EQ(client.SendAndRead(LookRequest()).body(), "two") << "the backend stays disabled";
}

}  // namespace
}  // namespace copperpoint::testing
