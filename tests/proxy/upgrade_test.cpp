// SPDX-License-Identifier: Apache-2.0
//
// A process of a proxy takes over from another process of the same name.
#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <string>

#include "support/child_process.h"
#include "support/loopback.h"

namespace copperpoint::testing {
namespace {

std::string AddressText(const Tcp::endpoint& address) {
  return "127.0.0.1:" + std::to_string(address.port());
}

std::map<std::string, std::string> Environment(const ConfigFile& file, const Tcp::endpoint& listen,
                                               const Tcp::endpoint& calls, const TemporaryFolder& folder) {
  return {{"ROUTER_CONFIG", file.path},
          {"ROUTER_LISTEN", AddressText(listen)},
          {"ROUTER_OPERATOR", AddressText(calls)},
          {"TMPDIR", folder.path}};
}

unsigned PostAdminCall(const Tcp::endpoint& address, const std::string& target) {
  return Client(address).SendAndRead("POST " + target + " HTTP/1.1\r\nHost: x\r\n\r\n").result_int();
}

TEST(Upgrade, SuccessorTakesOverConnectionsAndDisabledBackends) {
  Backend one("one"), two("two");
  FakeDiscovery discovery;
  const auto list = Members(MemberJson("s-1", one.address()), MemberJson("s-2", two.address()));
  const ConfigFile file(ConfigJson(discovery.address(), list).dump());
  const TemporaryFolder folder;
  const auto address = ReservePort(), first_calls = ReservePort(), next_calls = ReservePort();
  auto env = Environment(file, address, first_calls, folder);
  ProxyProcess first(env);
  ASSERT_TRUE(WaitUntilReady(first_calls));
  ASSERT_TRUE(discovery.WaitForWatches(1));
  EXPECT_EQ(PostAdminCall(first_calls, "/backends/disable?member=s-1"), 200u);
  Client kept(address);
  EXPECT_EQ(kept.SendAndRead(LookRequest()).body(), "two");

  env["ROUTER_OPERATOR"] = AddressText(next_calls);
  ProxyProcess next(env);
  ASSERT_TRUE(discovery.WaitForWatches(2));
  discovery.Push(ListJson(42, true, list));
  ASSERT_TRUE(WaitUntilReady(next_calls));
  EXPECT_EQ(ReadyStatus(first_calls), 200u);
  // Disabling or enabling a backend at either process applies to both.
  EXPECT_EQ(PostAdminCall(first_calls, "/backends/disable?member=s-2"), 200u);
  EXPECT_EQ(PostAdminCall(next_calls, "/backends/enable?member=s-1"), 200u);
  Client fresh(address);
  EXPECT_EQ(fresh.SendAndRead(LookRequest()).body(), "one");
  first.Signal(SIGTERM);
  const auto last = kept.SendAndRead(WithRequestId(LookRequest(), "0c"));
  EXPECT_EQ(last.result_int(), 200u);
  EXPECT_EQ(last[http::field::connection], "close");
  EXPECT_EQ(first.Wait(), 0);
  EXPECT_EQ(fresh.SendAndRead(LookRequest()).body(), "one");
  Client later(address);
  EXPECT_EQ(later.SendAndRead(LookRequest()).body(), "one");
  next.Signal(SIGTERM);
  EXPECT_EQ(next.Wait(), 0);
  const std::string stderr_text = next.ReadStderr();
  EXPECT_NE(stderr_text.find("upgrade_listener_received"), std::string::npos) << stderr_text;
  EXPECT_NE(stderr_text.find("upgrade_predecessor_exited"), std::string::npos) << stderr_text;
}

TEST(Upgrade, PredecessorServesAgainWhenTheSuccessorIsKilled) {
  Backend backend;
  FakeDiscovery discovery;
  const auto list = Members(MemberJson("s-1", backend.address()));
  const ConfigFile file(ConfigJson(discovery.address(), list).dump());
  const TemporaryFolder folder;
  const auto address = ReservePort(), first_calls = ReservePort(), next_calls = ReservePort();
  auto env = Environment(file, address, first_calls, folder);
  ProxyProcess first(env);
  ASSERT_TRUE(WaitUntilReady(first_calls));
  env["ROUTER_OPERATOR"] = AddressText(next_calls);
  for (std::size_t i = 1; i < 3; ++i) {
    ProxyProcess next(env);
    ASSERT_TRUE(discovery.WaitForWatches(i + 1));
    discovery.Push(ListJson(41 + static_cast<int>(i), true, list));
    ASSERT_TRUE(WaitUntilReady(next_calls));
    next.Signal(SIGKILL);
    EXPECT_EQ(next.Wait(), 1000 + SIGKILL);
    Client client(address);
    EXPECT_EQ(client.SendAndRead(LookRequest()).result_int(), 200u);
  }
  first.Signal(SIGTERM);
  EXPECT_EQ(first.Wait(), 0);
}

TEST(Upgrade, StartsDespiteCorruptFilesInTheStateDirectory) {
  Backend backend;
  FakeDiscovery discovery;
  const ConfigFile file(
      ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address()))).dump());
  for (const bool foreign_file : {false, true}) {
    const TemporaryFolder folder;
    std::ofstream(folder.path + "/copperpoint-n1-disabled.json") << "{\"disabled\":[\"s-";
    if (foreign_file) std::ofstream(folder.path + "/copperpoint-n1-handover.sock") << "torn";
    const auto address = ReservePort(), calls = ReservePort();
    ProxyProcess child(Environment(file, address, calls, folder));
    ASSERT_TRUE(WaitUntilReady(calls));
    Client client(address);
    EXPECT_EQ(client.SendAndRead(LookRequest()).result_int(), 200u);
    child.Signal(SIGTERM);
    EXPECT_EQ(child.Wait(), 0);
  }
}

}  // namespace
}  // namespace copperpoint::testing
