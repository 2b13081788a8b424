// SPDX-License-Identifier: Apache-2.0
//
// The program as a process: configuration errors at the start, signals, and limits of descriptors.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "support/child_process.h"
#include "support/loopback.h"

namespace copperpoint::testing {
namespace {

void ExpectStartupError(const std::map<std::string, std::string>& env, const std::string& part) {
  ProxyProcess child(env);
  const std::string text = child.ReadStderr();
  EXPECT_EQ(child.Wait(), 2) << part;
  EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1) << text;
  EXPECT_NE(text.find(part), std::string::npos) << text;
}

TEST(Process, ExitsWithOneLineOnInvalidConfiguration) {
  ExpectStartupError({}, "ROUTER_CONFIG");
  ExpectStartupError({{"ROUTER_CONFIG", "/nowhere/at/all"}}, "/nowhere/at/all");
  const auto with = [](const std::string& text, const std::string& part) {
    const ConfigFile file(text);
    ExpectStartupError({{"ROUTER_CONFIG", file.path}}, part);
  };
  with("", "JSON");
  with("{", "JSON");
  with("[1]", "JSON");
  const auto good = ConfigJson(Tcp::endpoint(kAnyPort.address(), 9), {});
  const auto changed = [&](const char* path, const nlohmann::json& value) {
    auto json = good;
    json[nlohmann::json::json_pointer(path)] = value;
    return json.dump();
  };
  with(changed("/listen", "here"), "listen");
  with(changed("/discovery", 5), "type");
  with(changed("/seed", "xyz"), "seed");
  with(changed("/settings", nullptr), "balancers");
  with(changed("/settings/balancers", "many"), "balancers");
  with(changed("/settings/classes/0/effect", "odd"), "effect");
  with(changed("/settings/permissions/connIdleMs", -1), "connIdleMs");
  with(changed("/known", 7), "known");
  with(changed("/limits/sockets", 3), "sockets");
  with(changed("/limits/memory_mb", 1), "memory_mb");
}

TEST(Process, ExitsAtSigtermAndRestartsOnTheSameAddress) {
  Backend backend;
  FakeDiscovery discovery;
  const ConfigFile file(
      ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address()))).dump());
  const auto address = ReservePort();
  const std::map<std::string, std::string> env{
      {"ROUTER_CONFIG", file.path}, {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(address.port())}};
  for (const int signal : {SIGTERM, SIGKILL, SIGTERM}) {
    ProxyProcess child(env);
    ASSERT_TRUE(WaitUntilReady(address));
    Client client(address);
    EXPECT_EQ(client.SendAndRead(LookRequest()).result_int(), 200u);
    child.Signal(signal);
    if (signal == SIGTERM) {
      EXPECT_EQ(client.SendAndRead(LookRequest()).result_int(), 200u);
    }
    EXPECT_EQ(child.Wait(), signal == SIGTERM ? 0 : 1000 + SIGKILL);
  }
}

// Further SIGTERM, SIGINT and SIGHUP that arrive during the shutdown must not abort requests in flight.
TEST(Process, SignalsDuringShutdownLoseNoRequest) {
  WaitableValue<bool> release;
  Backend backend([&](Tcp::socket& s, const HttpRequest&) {
    release.WaitFor([](bool r) { return r; });
    SendRaw(s, OkResponse("served"));
    return true;
  });
  FakeDiscovery discovery, elsewhere;
  const ConfigFile file(
      ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address()))).dump());
  const auto address = ReservePort();
  ProxyProcess child(
      {{"ROUTER_CONFIG", file.path}, {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(address.port())}});
  ASSERT_TRUE(WaitUntilReady(address));
  std::vector<std::unique_ptr<Client>> clients;
  for (std::size_t i = 0; i < 8; ++i) {
    clients.push_back(std::make_unique<Client>(address));
    clients.back()->Send(WithRequestId(BookRequest(), Numbered("r", i)));
  }
  ASSERT_TRUE(backend.WaitForRequests(1));
  child.Signal(SIGTERM);
  child.Signal(SIGTERM);
  ReplaceFile(file, ConfigJson(elsewhere.address(), {}).dump());
  child.Signal(SIGHUP);
  ASSERT_TRUE(elsewhere.WaitForWatches(1));
  child.Signal(SIGINT);
  // Sends a signal also after the grace period, when no connections are accepted any more.
  const auto listener_closed = [&] {
    asio::io_context io;
    Tcp::socket socket(io);
    error_code failed;
    socket.connect(address, failed);
    return static_cast<bool>(failed);
  };
  while (!listener_closed()) std::this_thread::yield();
  child.Signal(SIGTERM);
  release.Update([](bool& r) { r = true; });
  for (const auto& client : clients) EXPECT_EQ(client->Read().body(), "served");
  EXPECT_EQ(child.Wait(), 0);
}

// While idle clients use up their share of the descriptors and more wait to be accepted, the proxy must still
// be able to connect to discovery and to backends.
TEST(Process, ClientsLeaveDescriptorsForDiscoveryAndBackends) {
  constexpr rlim_t kDescriptors = 256;
  Backend backend;
  FakeDiscovery discovery;
  auto config = ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address())));
  config["limits"]["sockets"] = kDescriptors;
  const ConfigFile file(config.dump());
  const auto address = ReservePort();
  ProxyProcess child(
      {{"ROUTER_CONFIG", file.path}, {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(address.port())}},
      kDescriptors);
  ASSERT_TRUE(WaitUntilReady(address));
  ASSERT_TRUE(discovery.WaitForWatches(1));
  std::vector<std::unique_ptr<Client>> idle_clients;
  const auto fill = [&](std::size_t n) {
    for (std::size_t i = 0; i < n; ++i) idle_clients.push_back(std::make_unique<Client>(address));
  };
  fill(300);
  for (std::size_t watches = 2; watches < 5; ++watches) {
    discovery.EndWatch();
    fill(50);
    ASSERT_TRUE(discovery.WaitForWatches(watches));  // another descriptor was available for it
    Client asks(address);
    EXPECT_EQ(asks.SendAndRead(WithRequestId(LookRequest(), Numbered("r", watches))).body(), "served");
  }
  idle_clients.clear();
  Client after(address);
  EXPECT_EQ(after.SendAndRead(WithRequestId(LookRequest(), "after")).body(), "served");
  child.Signal(SIGTERM);
  EXPECT_EQ(child.Wait(), 0);
}

TEST(Process, ExitsAtSigtermBeforeItIsReady) {
  FakeDiscovery discovery;
  const ConfigFile file(ConfigJson(discovery.address(), {}).dump());
  const auto address = ReservePort();
  ProxyProcess child(
      {{"ROUTER_CONFIG", file.path}, {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(address.port())}});
  ASSERT_TRUE(discovery.WaitForWatches(1));
  child.Signal(SIGTERM);
  EXPECT_EQ(child.Wait(), 0);
}

TEST(Process, SurvivesRunningOutOfDescriptors) {
  Backend backend;
  FakeDiscovery discovery;
  const ConfigFile file(
      ConfigJson(discovery.address(), Members(MemberJson("s-1", backend.address()))).dump());
  const auto address = ReservePort();
  ProxyProcess child(
      {{"ROUTER_CONFIG", file.path}, {"ROUTER_LISTEN", "127.0.0.1:" + std::to_string(address.port())}},
      /*descriptors=*/24);
  ASSERT_TRUE(WaitUntilReady(address));
  {
    std::vector<std::unique_ptr<Client>> many;
    for (int i = 0; i < 100; ++i) many.push_back(std::make_unique<Client>(address));
    EXPECT_EQ(many.back()->SendAndRead("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").result_int(), 200u);
  }
  Client client(address);
  EXPECT_EQ(client.SendAndRead(LookRequest()).result_int(), 200u);
  child.Signal(SIGTERM);
  EXPECT_EQ(child.Wait(), 0);
}

}  // namespace
}  // namespace copperpoint::testing
