// SPDX-License-Identifier: Apache-2.0
//
// The two processes of a replaced proxy count as one: what discovery has told one of them, both obey. Each
// has a discovery of its own here, so that a test decides which of them is told what.
#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "support/child_process.h"
#include "support/loopback.h"
#include "support/scripted_discovery.h"

namespace copperpoint::testing {
namespace {

std::string AddressText(const Tcp::endpoint& address) {
  return "127.0.0.1:" + std::to_string(address.port());
}

// Waits until the process has applied a list that names the backend. Enabling one that is not disabled
// changes nothing, and is refused while it is unknown.
bool WaitUntilListed(const Tcp::endpoint& calls, const std::string& id) {
  const std::string enable = "POST /backends/enable?member=" + id + " HTTP/1.1\r\nHost: x\r\n\r\n";
  const auto until = std::chrono::steady_clock::now() + kWaitTimeout;
  while (Client(calls).SendAndRead(enable).result_int() != 200) {
    if (std::chrono::steady_clock::now() > until) return false;
    std::this_thread::yield();
  }
  return true;
}

// A proxy that was started with a list of revision 41: s-1 and s-2, and s-0, which has gone since. The
// parameter says whether discovery has to be polled.
struct UpgradeEndpoints : ::testing::TestWithParam<bool> {
  std::map<std::string, std::string> Environment(const Tcp::endpoint& calls, const Tcp::endpoint& discovery) {
    return {{"ROUTER_CONFIG", file.path},
            {"ROUTER_LISTEN", AddressText(address)},
            {"ROUTER_OPERATOR", AddressText(calls)},
            {"ROUTER_DISCOVERY", AddressText(discovery)},
            {"TMPDIR", folder.path}};
  }
  nlohmann::json Configuration() {
    nlohmann::json config = ConfigJson(first_discovery.address(), known);
    if (!GetParam()) return config;
    config["settings"]["registryMode"] = "ask";
    config["settings"]["rules"]["mustAskInMs"] = 10000.0;
    return config;
  }
  // Starts the first process and lets discovery tell it `list`, which names s-9, a marker that only drains.
  void StartFirst(const nlohmann::json& list) {
    first = std::make_unique<ProxyProcess>(Environment(first_calls, first_discovery.address()));
    ASSERT_TRUE(WaitUntilReady(first_calls));
    ASSERT_TRUE(first_discovery.WaitForWatches(1));
    first_discovery.Push(list);
    ASSERT_TRUE(WaitUntilListed(first_calls, "s-9"));
  }
  void NameDiscoveryInFile(const Tcp::endpoint& discovery) {
    nlohmann::json config = Configuration();
    config["discovery"] = AddressText(discovery);
    ReplaceFile(file, config.dump());
  }
  // Starts the second process. Its discovery answers nothing, until the test pushes a list.
  void StartNext() {
    next = std::make_unique<ProxyProcess>(Environment(next_calls, next_discovery.address()));
    ASSERT_TRUE(next_discovery.WaitForWatches(1));
  }
  nlohmann::json Marker(const std::string& id) { return MemberJson(id, gone.address(), "terminating"); }
  // Revision 43: s-0 has gone, s-1 drains.
  nlohmann::json ListWithDrain() {
    return ListJson(43, true,
                    Members(MemberJson("s-1", one.address(), "terminating"), MemberJson("s-2", two.address()),
                            Marker("s-9")));
  }
  // Sends requests on new connections. @return the names of the backends that responded, each once.
  std::vector<std::string> RespondingBackends(int requests = 20) {
    std::map<std::string, int> responses;
    for (int i = 0; i < requests; ++i)
      ++responses
          [Client(address).SendAndRead(WithRequestId(LookRequest(), Numbered("id", next_id++))).body()];
    std::vector<std::string> names;
    for (const auto& [name, count] : responses) names.push_back(name);
    return names;
  }
  void ExpectExitAtSigterm(ProxyProcess& process) {
    process.Signal(SIGTERM);
    EXPECT_EQ(process.Wait(), 0);
  }

  using Names = std::vector<std::string>;
  Backend gone{"gone"}, one{"one"}, two{"two"}, three{"three"};
  FakeDiscovery first_discovery, next_discovery;
  TemporaryFolder folder;
  Tcp::endpoint address = ReservePort(), first_calls = ReservePort(), next_calls = ReservePort();
  std::vector<nlohmann::json> known = Members(
      MemberJson("s-0", gone.address()), MemberJson("s-1", one.address()), MemberJson("s-2", two.address()));
  ConfigFile file{Configuration().dump()};
  std::unique_ptr<ProxyProcess> first, next;
  std::size_t next_id = 0;
};

// Review case 7: discovery is down while the process is replaced, and the new one used the list of its
// configuration, in which backends that drain or have gone are in service.
TEST_P(UpgradeEndpoints, SuccessorObeysWhatItsPredecessorWasTold) {
  StartFirst(ListWithDrain());
  StartNext();
  ASSERT_TRUE(WaitUntilReady(next_calls));
  EXPECT_EQ(RespondingBackends(), Names{"two"});
  ExpectExitAtSigterm(*first);
  EXPECT_EQ(RespondingBackends(), Names{"two"});
  EXPECT_TRUE(gone.activity.Get().requests.empty());
  EXPECT_TRUE(one.activity.Get().requests.empty());
  // Discovery answers the call that was made before the list was handed over. A backend that is back is used.
  next_discovery.Push(ListJson(44, false,
                               Members(MemberJson("s-1", one.address()),
                                       MemberJson("s-2", two.address(), "terminating"), Marker("s-8"))));
  ASSERT_TRUE(WaitUntilListed(next_calls, "s-8"));
  EXPECT_EQ(RespondingBackends(), Names{"one"});
  ExpectExitAtSigterm(*next);
  const std::string log = next->ReadStderr();
  EXPECT_NE(log.find("upgrade_endpoints_received revision=43 endpoints=3 applied=true"), std::string::npos)
      << log;
}

// The successor's call waits at discovery, while the predecessor's watch still delivers.
TEST_P(UpgradeEndpoints, SuccessorObeysWhatItsPredecessorIsToldAfterTheHandover) {
  StartFirst(ListWithDrain());
  StartNext();
  ASSERT_TRUE(WaitUntilReady(next_calls));
  first_discovery.Push(
      ListJson(44, false,
               Members(MemberJson("s-2", two.address(), "terminating"), MemberJson("s-3", three.address()))));
  ASSERT_TRUE(WaitUntilListed(next_calls, "s-3"));
  EXPECT_EQ(RespondingBackends(), Names{"three"});
  ExpectExitAtSigterm(*first);
  ExpectExitAtSigterm(*next);
}

// The predecessor still serves the connections that it has.
TEST_P(UpgradeEndpoints, PredecessorObeysWhatItsSuccessorIsTold) {
  StartFirst(ListWithDrain());
  Client kept(address);
  EXPECT_EQ(kept.SendAndRead(LookRequest()).body(), "two");
  StartNext();
  next_discovery.Push(
      ListJson(44, false,
               Members(MemberJson("s-2", two.address(), "terminating"), MemberJson("s-3", three.address()))));
  ASSERT_TRUE(WaitUntilReady(next_calls));
  ASSERT_TRUE(WaitUntilListed(first_calls, "s-3"));
  EXPECT_EQ(kept.SendAndRead(WithRequestId(LookRequest(), "0c")).body(), "three");
  ExpectExitAtSigterm(*first);
  ExpectExitAtSigterm(*next);
}

// What is newer wins, wherever it comes from: discovery has told the successor more than its predecessor.
TEST_P(UpgradeEndpoints, SuccessorsOwnAnswerIsNotReplacedByAnOlderList) {
  StartFirst(ListWithDrain());
  StartNext();
  next_discovery.Push(
      ListJson(50, true, Members(MemberJson("s-1", one.address()), Marker("s-8"), Marker("s-9"))));
  ASSERT_TRUE(WaitUntilReady(next_calls));
  EXPECT_EQ(RespondingBackends(), Names{"one"});
  // The predecessor is told a change that is older than the successor's list; a later one of the successor's
  // own discovery shows that the successor still follows it.
  first_discovery.Push(ListJson(44, false, Members(MemberJson("s-3", three.address()), Marker("s-7"))));
  next_discovery.Push(ListJson(51, false,
                               Members(MemberJson("s-1", one.address(), "terminating"),
                                       MemberJson("s-2", two.address()), Marker("s-6"))));
  ASSERT_TRUE(WaitUntilListed(next_calls, "s-6"));
  EXPECT_EQ(RespondingBackends(), Names{"two"});
  ExpectExitAtSigterm(*first);
  EXPECT_EQ(RespondingBackends(), Names{"two"});
  ExpectExitAtSigterm(*next);
}

// Discovery restarts, counts anew, and the predecessor hears from it first.
TEST_P(UpgradeEndpoints, SuccessorFollowsItsPredecessorToADiscoveryThatCountsAnew) {
  StartFirst(ListWithDrain());
  StartNext();
  ASSERT_TRUE(WaitUntilReady(next_calls));
  first_discovery.Push(ListJson(5, true, Members(MemberJson("s-3", three.address()))));
  ASSERT_TRUE(WaitUntilListed(next_calls, "s-3"));
  EXPECT_EQ(RespondingBackends(), Names{"three"});
  next_discovery.Push(
      ListJson(6, false,
               Members(MemberJson("s-1", one.address()), MemberJson("s-3", three.address(), "terminating"))));
  ASSERT_TRUE(WaitUntilListed(next_calls, "s-1"));
  EXPECT_EQ(RespondingBackends(), Names{"one"});
  ExpectExitAtSigterm(*first);
  ExpectExitAtSigterm(*next);
}

// Three processes in a row, and discovery answers only the first.
TEST_P(UpgradeEndpoints, ListPassesThroughSuccessorsThatDiscoveryDoesNotAnswer) {
  StartFirst(ListWithDrain());
  StartNext();
  ASSERT_TRUE(WaitUntilReady(next_calls));
  ExpectExitAtSigterm(*first);
  const Tcp::endpoint third_calls = ReservePort();
  FakeDiscovery third_discovery;
  ProxyProcess third(Environment(third_calls, third_discovery.address()));
  ASSERT_TRUE(WaitUntilReady(third_calls));
  ExpectExitAtSigterm(*next);
  EXPECT_EQ(RespondingBackends(), Names{"two"});
  ExpectExitAtSigterm(third);
}

// SIGHUP has moved discovery. The platform starts the next process with the environment of the first one,
// which names the address that nobody serves any more.
TEST_P(UpgradeEndpoints, SuccessorFollowsDiscoveryToTheAddressOfAReload) {
  StartFirst(ListWithDrain());
  const std::string first_list = List(7, Members(MemberJson("s-3", three.address())));
  const std::string next_list = List(8, Members(MemberJson("s-1", one.address())));
  ScriptedDiscovery moved({WatchWith(first_list), WatchWith(next_list)});
  NameDiscoveryInFile(moved.address());
  first->Signal(SIGHUP);
  ASSERT_TRUE(WaitUntilListed(first_calls, "s-3"));
  StartNext();
  ASSERT_TRUE(WaitUntilReady(next_calls));
  ASSERT_TRUE(WaitUntilListed(next_calls, "s-1"));
  EXPECT_EQ(RespondingBackends(), Names{"one"});
  ExpectExitAtSigterm(*first);
  // Only the next process is left to call there, which it does when its watch has fallen silent.
  ASSERT_TRUE(moved.WaitForCalls(moved.calls.Get().size() + 1));
  EXPECT_EQ(RespondingBackends(), Names{"one"});
  ExpectExitAtSigterm(*next);
}

// The file has been replaced once more since the reload, and only the next process has read it.
TEST_P(UpgradeEndpoints, SuccessorFollowsAFileThatIsNewerThanTheReload) {
  StartFirst(ListWithDrain());
  ScriptedDiscovery moved({WatchWith(List(7, Members(MemberJson("s-3", three.address()))))});
  ScriptedDiscovery moved_again({WatchWith(List(8, Members(MemberJson("s-1", one.address()))))});
  NameDiscoveryInFile(moved.address());
  first->Signal(SIGHUP);
  ASSERT_TRUE(WaitUntilListed(first_calls, "s-3"));
  NameDiscoveryInFile(moved_again.address());
  StartNext();
  ASSERT_TRUE(WaitUntilReady(next_calls));
  ASSERT_TRUE(moved_again.WaitForCalls(1));
  ASSERT_TRUE(WaitUntilListed(next_calls, "s-1"));
  ExpectExitAtSigterm(*first);
  EXPECT_EQ(RespondingBackends(), Names{"one"});
  ExpectExitAtSigterm(*next);
}

// A first start, and a replacement without a reload, follow the environment, whatever the file says.
TEST_P(UpgradeEndpoints, SuccessorFollowsItsEnvironmentWithoutAReload) {
  StartFirst(ListWithDrain());
  StartNext();
  ASSERT_TRUE(WaitUntilReady(next_calls));
  ExpectExitAtSigterm(*first);
  next_discovery.Push(ListJson(44, false, Members(MemberJson("s-3", three.address()), Marker("s-2"))));
  ASSERT_TRUE(WaitUntilListed(next_calls, "s-3"));
  EXPECT_EQ(RespondingBackends(), Names{"three"});
  ExpectExitAtSigterm(*next);
}

INSTANTIATE_TEST_SUITE_P(Discovery, UpgradeEndpoints, ::testing::Bool(),
                         [](const auto& info) { return info.param ? "Polled" : "Pushed"; });

}  // namespace
}  // namespace copperpoint::testing
