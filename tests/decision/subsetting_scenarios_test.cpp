// SPDX-License-Identifier: Apache-2.0
//
// Which backends each of many proxies uses.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <vector>

#include "support/balancer_fixture.h"

namespace copperpoint::testing {
namespace {

// Incident i0f08a6: hundreds of proxies each held a connection to every server, more than servers accept.
TEST(Subset, ThinTrafficUsesFewServersAndAllProxiesTogetherUseThemAlike) {
  constexpr int kProxies = 400, kServers = 80;
  std::map<BackendId, int> proxies_at;
  for (int me = 0; me < kProxies; ++me) {
    Settings settings = Usual();
    settings.proxy_count = kProxies;
    settings.proxy_index = me;
    Rig rig(settings, me + 1);
    rig.Servers(kServers);
    std::set<BackendId> used;
    for (int i = 0; i < 100; ++i) {
      rig.Tick(250);
      const RequestId id = next_id++;
      if (const auto s = rig.Ask(id, 2, 10)) used.insert(*s), rig.End(id, 0, *s, AttemptOutcome::kSuccess);
    }
    EXPECT_LE(used.size(), 16u);
    EXPECT_GE(used.size(), 4u);
    for (const BackendId s : used) ++proxies_at[s];
  }
  EXPECT_EQ(proxies_at.size(), static_cast<std::size_t>(kServers));
  const double mean = 1.0 * kProxies * 8 / kServers;
  for (const auto& [s, proxies] : proxies_at) EXPECT_NEAR(proxies, mean, mean / 4) << s;
}

// A shrunk fleet: a fixed subset brought 133 proxies to each server (tsoa big-1), and old connections stayed.
TEST(Subset, FewServersAreSharedByNoMoreProxiesThanTheyCanHold) {
  Settings settings = Usual();
  settings.proxy_count = 640;
  Rig rig(settings);
  rig.Servers(80);
  std::vector<Endpoint> gone;
  for (BackendId id = 31; id <= 80; ++id) gone.push_back(Entry(id, 0, 0, EndpointState::kRemoved));
  rig.List(gone, EndpointUpdateKind::kIncremental);
  rig.sent.clear();
  std::set<BackendId> used;
  for (int i = 0; i < 60; ++i) {
    rig.Tick(250);
    const RequestId id = next_id++;
    if (const auto s = rig.Ask(id, 2, 10)) used.insert(*s), rig.End(id, 0, *s, AttemptOutcome::kSuccess);
  }
  EXPECT_LE(used.size(), 4u) << "640 x 3 / 30 is 64";
}

TEST(Subset, AnEjectedServersConnectionsAreGivenBack) {
  Rig rig;
  rig.Servers(8);
  int closed = 0;
  for (int i = 0; i < 60; ++i) {
    rig.Tick(250);
    const RequestId id = next_id++;
    const auto s = rig.Ask(id, 2, 10);
    ASSERT_TRUE(s.has_value());
    rig.End(id, 0, *s, *s == 1 ? AttemptOutcome::kConnectFailure : AttemptOutcome::kSuccess);
    for (const Action& a : rig.actions) {
      const auto* close = std::get_if<CloseIdleConnections>(&a);
      if (!close) continue;
      ++closed;
      EXPECT_EQ(close->backend, 1u);
    }
  }
  EXPECT_GE(closed, 1);
}

TEST(Subset, ABusyProxyUsesAllServers) {
  Settings settings = Usual();
  settings.proxy_count = 400;
  Rig rig(settings);
  rig.Servers(40);
  std::set<BackendId> used;
  for (int i = 0; i < 2000; ++i) {
    rig.Tick(5);
    const RequestId id = next_id++;
    if (const auto s = rig.Ask(id, 2, 10)) used.insert(*s), rig.End(id, 0, *s, AttemptOutcome::kSuccess);
  }
  EXPECT_EQ(used.size(), 40u);
}

// Proxies that are told to stand evenly on the ring keep to subsets that cover it evenly, whatever their
// numbers are; one that moves closes what it held.
TEST(LargeFleet, ToldPositionsDivideTheServersEvenly) {
  constexpr int kServers = 64, kProxies = 8;
  std::map<BackendId, int> holders;
  for (int proxy = 0; proxy < kProxies; ++proxy) {
    Settings settings = Usual();
    settings.proxy_count = 200;
    settings.proxy_index = 3;  // all the same number
    Rig rig(settings);
    rig.Servers(kServers);
    rig.Do(SubsetPosition{static_cast<double>(proxy) / kProxies});
    std::set<BackendId> used;
    for (RequestId id = 1; id <= 400; ++id) {
      const auto server = rig.Ask(id);
      ASSERT_TRUE(server.has_value());
      used.insert(*server);
      rig.End(id, 0, *server, AttemptOutcome::kSuccess);
    }
    EXPECT_LE(used.size(), 8u);
    for (const BackendId server : used) ++holders[server];
    rig.Do(SubsetPosition{static_cast<double>(proxy) / kProxies + 0.5 / kProxies});
    EXPECT_GE(rig.Count<CloseIdleConnections>(), 3);
  }
  EXPECT_EQ(holders.size(), static_cast<std::size_t>(kServers));
  for (const auto& [server, n] : holders) EXPECT_EQ(n, 1) << server;
}

}  // namespace
}  // namespace copperpoint::testing
