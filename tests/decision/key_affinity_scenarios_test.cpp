// SPDX-License-Identifier: Apache-2.0
//
// Requests of one key go to backends that have served it.
#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <set>

#include "support/balancer_fixture.h"

namespace copperpoint::testing {
namespace {

constexpr int kMany = 500;

// A hundred proxies took a key to sixty servers in turn, and each did its work afresh.
TEST(WarmKeys, ManyProxiesTakeAKeyToTheSameFewServers) {
  Settings settings = Usual();
  settings.proxy_count = 20;
  settings.key_affinity = true;
  std::map<std::uint64_t, std::set<BackendId>> used[2];  // by key; in the second round server 3 is gone
  for (int me = 0; me < 20; ++me) {
    settings.proxy_index = me;
    Rig rig(settings, static_cast<std::uint64_t>(me + 1));
    rig.Servers(8);  // all of them in each proxy's subset
    for (const int round : {0, 1}) {
      if (round == 1) rig.List({Entry(3, 0, 0, EndpointState::kRemoved)}, EndpointUpdateKind::kIncremental);
      for (std::uint64_t key = 1; key <= 12; ++key) {
        rig.Tick(5000);  // what a proxy itself remembers of keys is over
        const RequestId id = next_id++;
        const auto s = rig.Ask(id, 2, 10, 400, key);
        ASSERT_TRUE(s.has_value());
        used[round][key].insert(*s);
        rig.End(id, 0, *s, AttemptOutcome::kSuccess);
      }
    }
  }
  std::set<BackendId> all;
  for (const auto& [key, servers] : used[0]) {
    EXPECT_LE(servers.size(), 4u) << key;
    all.insert(servers.begin(), servers.end());
    for (const BackendId s : servers) EXPECT_TRUE(s == 3 || used[1][key].contains(s)) << "moved without need";
    EXPECT_LE(used[1][key].size(), 4u) << key;
  }
  EXPECT_EQ(all.size(), 8u) << "keys are spread over all servers";
}

// Spread evenly, a key was served afresh by one server after the other: up to half of all work for nothing.
TEST(Pick, AKeyGoesWhereItIsWarmUnlessThatIsFarBusier) {
  Settings settings = Usual();
  settings.key_affinity = true;
  Rig rig(settings);
  rig.Servers(4);
  auto ask = [&](std::uint64_t key, double work = 10) { return *rig.Ask(next_id++, 0, work, 5000, key); };
  const BackendId home = ask(7);
  EXPECT_EQ(ask(7), home) << "10 in flight there, but the key saves its work";
  EXPECT_NE(ask(8), home) << "another key";
  EXPECT_NE(ask(0), home) << "no key";
  EXPECT_NE(ask(7, 1), home) << "20 in flight there weigh more than so small a saving";

  Rig forgets(settings);
  forgets.Servers(4);
  std::set<BackendId> later;
  for (int i = 0; i < 20; ++i) {
    const RequestId id = next_id++;
    later.insert(*forgets.Ask(id, 0, 10, 5000, 9));
    forgets.End(id, 0, forgets.sent.back().backend, AttemptOutcome::kSuccess);
    forgets.Tick(4001);
  }
  EXPECT_GT(later.size(), 1u) << "forgotten";

  settings.key_affinity = false;
  Rig none(settings);
  none.Servers(2);
  const auto first = none.Ask(next_id++, 0, 10, 5000, 7);
  EXPECT_NE(none.Ask(next_id++, 0, 10, 5000, 7), first);
}

// The memory of keys must outlive its own forgetting: the same key twice at one server, then silence.
TEST(Pick, KeysAreForgottenAndMetAgain) {
  Settings settings = Usual();
  settings.key_affinity = true;
  Rig rig(settings);
  rig.Servers(2);
  for (int round = 0; round < 4; ++round) {
    for (int i = 0; i < 6; ++i) {
      const RequestId id = next_id++;
      const auto s = rig.Ask(id, 1, 10, 1000, 1 + i % 3);
      ASSERT_TRUE(s.has_value());
      rig.End(id, 0, *s, AttemptOutcome::kSuccess);
      rig.Tick(10);
    }
    rig.Tick(5000);
  }
}

TEST(LargeFleet, AKeyStaysWithTheServerThatMetIt) {
  Settings settings = Usual();
  settings.key_affinity = true;
  Rig rig(settings);
  rig.Servers(kMany);
  const auto first = rig.Ask(1, 0, 10, 1000, 42);
  ASSERT_TRUE(first.has_value());
  rig.End(1, 0, *first, AttemptOutcome::kSuccess);
  for (RequestId id = 2; id <= 100; ++id) {
    rig.Tick(10);
    const auto other = rig.Ask(1000 + id);
    rig.End(1000 + id, 0, *other, AttemptOutcome::kSuccess);
    EXPECT_EQ(rig.Ask(id, 0, 10, 1000, 42), first);
    rig.End(id, 0, *first, AttemptOutcome::kSuccess);
  }
}

}  // namespace
}  // namespace copperpoint::testing
