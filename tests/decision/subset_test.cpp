// SPDX-License-Identifier: Apache-2.0
//
// The size and the place of a proxy's subset.
#include "decision/subset.h"

#include <gtest/gtest.h>

namespace copperpoint {
namespace {

EndpointSet SetOf(BackendId backends, int zones = 1) {
  EndpointUpdate update{EndpointUpdateKind::kSnapshot, {}};
  for (BackendId id = 0; id < backends; ++id) {
    Endpoint endpoint;
    endpoint.backend = id;
    endpoint.zone = static_cast<int>(id) % zones;
    update.endpoints.push_back(endpoint);
  }
  EndpointSet set;
  set.Apply(update, TimePoint{Duration(1)});
  return set;
}

TEST(Subset, HoldsEightBackendsWhileNoTrafficIsKnown) {
  EndpointSet set = SetOf(100);
  Subset subset{Settings()};
  EXPECT_TRUE(subset.Rebuild(set).empty());
  EXPECT_EQ(subset.backends().size(), 8u);
}

TEST(Subset, IsSmallerWhereManyProxiesShareFewBackends) {
  EndpointSet set = SetOf(10);
  Settings settings;
  settings.proxy_count = 400;
  Subset subset{settings};
  subset.Rebuild(set);
  EXPECT_EQ(subset.backends().size(), 3u);
}

TEST(Subset, DoesNotCountBackendsOutOfService) {
  EndpointSet set = SetOf(20);
  Subset subset{Settings()};
  subset.Rebuild(set);
  for (const BackendIndex index : subset.backends()) set[index].health.ejected = true;
  subset.Rebuild(set);
  EXPECT_EQ(subset.backends().size(), 16u);
}

TEST(Subset, FollowsTheRateButNotItsSmallChanges) {
  Subset subset{Settings()};
  EXPECT_TRUE(subset.SetEvaluableBackends(20));
  EXPECT_FALSE(subset.SetEvaluableBackends(20));
  EXPECT_FALSE(subset.SetEvaluableBackends(10)) << "a change to half of the number is ignored";
  EXPECT_TRUE(subset.SetEvaluableBackends(9));
  EXPECT_TRUE(subset.SetEvaluableBackends(21));
}

TEST(Subset, ReturnsWhatLeftWhenTheOffsetMoves) {
  EndpointSet set = SetOf(100);
  Subset subset{Settings()};
  subset.Rebuild(set);
  subset.SetOffset(0.5);
  EXPECT_EQ(subset.Rebuild(set).size(), 8u);
  for (const BackendIndex index : subset.backends()) EXPECT_TRUE(subset.Contains(set[index]));
}

TEST(Subset, TakesAnArcOfTheOwnZoneAndOneOfTheOthersWhereCrossingCosts) {
  EndpointSet set = SetOf(100, 4);
  Settings settings;
  settings.cross_zone_cost = 0.1;
  Subset subset{settings};
  subset.Rebuild(set);
  int own = 0;
  for (const BackendIndex index : subset.backends()) own += set[index].endpoint.zone == 0;
  EXPECT_EQ(own, 8);
  EXPECT_EQ(subset.backends().size(), 16u);
}

}  // namespace
}  // namespace copperpoint
