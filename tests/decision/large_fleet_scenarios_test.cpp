// SPDX-License-Identifier: Apache-2.0
//
// Fleets larger than a pick ranks whole: what holds for small ones holds there too.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "support/balancer_fixture.h"

namespace copperpoint::testing {
namespace {

constexpr int kMany = 500;

TEST(LargeFleet, OneServerLeftIsFoundHoweverManyThereWere) {
  Rig rig;
  rig.Servers(kMany);
  std::vector<Endpoint> draining;
  for (BackendId id = 1; id <= kMany; ++id) {
    if (id != 77) draining.push_back(Entry(id, 0, 0, EndpointState::kDraining));
  }
  rig.List(draining, EndpointUpdateKind::kIncremental);
  for (RequestId id = 1; id <= 20; ++id) {
    EXPECT_EQ(rig.Ask(id), std::optional<BackendId>(77));
    rig.End(id, 0, 77, AttemptOutcome::kSuccess);
  }
}

// Servers without a budget for a start fill nearly every sample: the ones with room must be found all the
// same.
TEST(LargeFleet, AWarmServerAmongColdOnesIsFound) {
  Settings settings = Usual();
  settings.slow_start_min_capacity = 0.001;
  settings.slow_start_window = Duration(1e7);
  Rig rig(settings);
  std::vector<Endpoint> list;
  for (BackendId id = 1; id <= kMany; ++id)
    list.push_back(Entry(id, 0, 0, EndpointState::kReady, id == 9 ? 0 : rig.now));
  rig.List(list);
  int warm = 0;
  for (RequestId id = 1; id <= 50; ++id) {
    rig.Tick(1);
    const auto server = rig.Ask(id);
    ASSERT_TRUE(server.has_value());
    warm += *server == 9;
    rig.End(id, 0, *server, AttemptOutcome::kSuccess);
  }
  EXPECT_GE(warm, 40);
}

TEST(LargeFleet, ChangesOneByOneAreHeededAtOnce) {
  Rig rig;
  rig.Servers(kMany);
  std::mt19937_64 random(5);
  std::map<BackendId, EndpointState> truth;
  for (BackendId id = 1; id <= kMany; ++id) truth[id] = EndpointState::kReady;
  std::set<BackendId> used;
  RequestId request = 0;
  for (int step = 0; step < 4000; ++step) {
    const auto id = static_cast<BackendId>(1 + random() % (kMany + 50));  // some were never heard of
    const auto state = static_cast<EndpointState>(random() % 3);
    truth[id] = state;
    rig.List({Entry(id, 0, 0, state)}, EndpointUpdateKind::kIncremental);
    rig.now += 1;
    const auto server = rig.Ask(++request);
    ASSERT_TRUE(server.has_value());
    ASSERT_EQ(truth[*server], EndpointState::kReady) << "step " << step;
    used.insert(*server);
    rig.End(request, 0, *server, AttemptOutcome::kSuccess);
  }
  EXPECT_GT(used.size(), 200u) << "no part of the fleet may be forgotten";
}

TEST(LargeFleet, LoadIsSpreadWhenAllIsEqual) {
  Rig rig;
  rig.Servers(kMany);
  RequestId request = 0;
  // A thousand requests a second for a while: a young proxy keeps to few servers.
  for (int ms = 0; ms < 8000; ++ms) {
    rig.Tick(1);
    const auto server = rig.Ask(++request);
    ASSERT_TRUE(server.has_value());
    rig.End(request, 0, *server, AttemptOutcome::kSuccess);
  }
  std::map<BackendId, int> out;
  int sent = 0, most = 0;
  for (int k = 0; k < kMany / 2; ++k) {
    const auto server = rig.Ask(++request, 0, 10, 100000);
    if (server) ++sent, most = std::max(most, ++out[*server]);
  }
  EXPECT_GT(sent, kMany / 4);
  EXPECT_LE(most, 2) << "half as many requests as servers hardly need to share one";
}

TEST(LargeFleet, PlacesOfServersLongGoneAreUsedAgain) {
  Rig rig;
  RequestId request = 0;
  for (int life = 0; life < 20; ++life) {
    std::vector<Endpoint> list;
    for (int i = 0; i < 100; ++i) list.push_back(Entry(static_cast<BackendId>(1000 * life + i + 1)));
    rig.List(list);
    for (int k = 0; k < 50; ++k) {
      rig.Tick(10);
      const auto server = rig.Ask(++request);
      ASSERT_TRUE(server.has_value());
      ASSERT_EQ((*server - 1) / 1000, static_cast<BackendId>(life)) << "only those listed now";
      rig.End(request, 0, *server, AttemptOutcome::kSuccess);
    }
    rig.Tick(700000);
  }
}

}  // namespace
}  // namespace copperpoint::testing
