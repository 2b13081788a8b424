// SPDX-License-Identifier: Apache-2.0
//
// SIGHUP reloads the configuration; an invalid one leaves the one before in force.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "support/child_process.h"
#include "support/loopback.h"

namespace copperpoint::testing {
namespace {

TEST(Reload, SwitchesDiscoveryAndAppliesItsSnapshot) {
  Backend before("before"), after("after"), later("later");
  FakeDiscovery here, there;
  const ConfigFile file(ConfigJson(here.address(), Members(MemberJson("s-1", before.address()))).dump());
  const auto address = ReservePort();
  // The environment keeps naming the first discovery while the process runs: at a reload the file overrides
  // it.
  ProxyProcess child({{"ROUTER_CONFIG", file.path},
                      {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(address.port())},
                      {"ROUTER_DISCOVERY", "127.0.0.1:" + std::to_string(here.address().port())}});
  ASSERT_TRUE(WaitUntilReady(address));
  ASSERT_TRUE(here.WaitForWatches(1));
  Client client(address);
  EXPECT_EQ(client.SendAndRead(LookRequest()).body(), "before");

  ReplaceFile(file, ConfigJson(there.address(), {}).dump());
  child.Signal(SIGHUP);
  // Updates of the old discovery are applied until the new one has responded.
  ASSERT_TRUE(there.WaitForWatches(1));
  EXPECT_EQ(there.activity.Get().watches[0], "/v1/endpoints?stream=1&index=41");
  here.Push(ListJson(42, false, Members(MemberJson("s-1", before.address(), "in_service", 1e12))));
  ASSERT_TRUE(before.WaitForClosed(1));
  EXPECT_EQ(client.SendAndRead(LookRequest()).body(), "before");
  // The new discovery has lower revisions, and does not list removed backends.
  there.Push(ListJson(7, true, Members(MemberJson("s-2", after.address()))));
  ASSERT_TRUE(before.WaitForClosed(2));
  EXPECT_EQ(client.SendAndRead(LookRequest()).body(), "after");
  there.EndWatch();
  ASSERT_TRUE(there.WaitForWatches(2));
  EXPECT_EQ(there.activity.Get().watches[1], "/v1/endpoints?stream=1&index=7");
  EXPECT_EQ(there.activity.Get().list_requests, 0);
  there.Push(ListJson(
      8, false,
      Members(MemberJson("s-2", after.address(), "terminating"), MemberJson("s-3", later.address()))));
  ASSERT_TRUE(after.WaitForClosed(1));
  EXPECT_EQ(client.SendAndRead(LookRequest()).body(), "later");
  child.Signal(SIGTERM);
  EXPECT_EQ(child.Wait(), 0);
}

TEST(Reload, InvalidOperatorFileLeavesTheOldInForce) {
  Backend backend("here");
  FakeDiscovery discovery;
  const auto config = ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address())));
  const ConfigFile file(config.dump());
  const ConfigFile operating("[patience]\nkept_ms = 3600000\n[log]\nformat = \"json\"\n");
  const auto address = ReservePort();
  ProxyProcess child(
      {{"ROUTER_CONFIG", file.path}, {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(address.port())}}, 0,
      operating.path);
  ASSERT_TRUE(WaitUntilReady(address));
  EXPECT_NE(child.ReadStderrLine().find("\"event\":\"state_changed\""), std::string::npos);
  ReplaceFile(operating, "[patience]\nkept_ms = 0\nkept = 1\n");
  child.Signal(SIGHUP);
  for (const char* fault :
       {":2:11: patience.kept_ms: 0 is out of range", ":3:1: patience.kept: unknown key"}) {
    const std::string line = child.ReadStderrLine();
    EXPECT_NE(line.find("configuration_rejected"), std::string::npos) << line;
    EXPECT_NE(line.find(fault), std::string::npos) << line;
  }
  EXPECT_EQ(Client(address).SendAndRead(LookRequest()).body(), "here");
  // The third file shortens kept_ms from an hour to 1 ms, so that the proxy soon closes an idle connection.
  ReplaceFile(operating, "[patience]\nkept_ms = 1\n[log]\nlevel = \"info\"\n");
  child.Signal(SIGHUP);
  EXPECT_NE(child.ReadStderrLine().find(" info configuration_reloaded"), std::string::npos);
  Client idle(address);
  EXPECT_EQ(idle.SendAndRead(LookRequest()).body(), "here");
  EXPECT_TRUE(idle.WaitForClose());
}

TEST(Reload, InvalidConfigurationLeavesTheOldInForce) {
  Backend before("before"), after("after");
  FakeDiscovery discovery;
  const auto config = ConfigJson(discovery.address(), Members(MemberJson("s-1", before.address())));
  const ConfigFile file(config.dump());
  const auto address = ReservePort();
  ProxyProcess child(
      {{"ROUTER_CONFIG", file.path}, {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(address.port())}});
  ASSERT_TRUE(WaitUntilReady(address));
  ASSERT_TRUE(discovery.WaitForWatches(1));
  Client client(address);
  EXPECT_EQ(client.SendAndRead(LookRequest()).body(), "before");
  ReplaceFile(file, "{\"listen\":");
  child.Signal(SIGHUP);
  EXPECT_NE(child.ReadStderrLine().find("state_changed from=starting to=ready"), std::string::npos);
  EXPECT_NE(child.ReadStderrLine().find("configuration_rejected"), std::string::npos);
  discovery.Push(ListJson(42, true, Members(MemberJson("s-2", after.address()))));
  ASSERT_TRUE(before.WaitForClosed(1));
  EXPECT_EQ(client.SendAndRead(LookRequest()).body(), "after");
  child.Signal(SIGTERM);
  const std::string rest = child.ReadStderr();
  EXPECT_NE(rest.find("state_changed from=ready to=stopping"), std::string::npos) << rest;
  EXPECT_EQ(std::count(rest.begin(), rest.end(), '\n'), 1) << rest;
  EXPECT_EQ(child.Wait(), 0);
}

}  // namespace
}  // namespace copperpoint::testing
