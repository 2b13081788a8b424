// SPDX-License-Identifier: Apache-2.0
//
// When a pick prefers the own zone. Guards against requests that stay in an overloaded zone, and against
// crossings of zones that gain nothing.
#include "decision/zone_locality.h"

#include <gtest/gtest.h>

namespace copperpoint {
namespace {

TEST(ZoneLocality, PrefersTheOwnZoneWhileItServesAsWell) {
  ZoneLocality locality(0.1);
  for (int i = 0; i < 20; ++i) locality.OnOutcome(/*own_zone=*/true, 0);
  EXPECT_DOUBLE_EQ(locality.preference(), 1);
  Random random(1);
  EXPECT_DOUBLE_EQ(locality.CrossingWorkMs(10, random), 10 * 0.1 * 10);
}

TEST(ZoneLocality, GivesUpThePreferenceWhenTheOwnZoneLosesMoreThanACrossingCosts) {
  ZoneLocality locality(0.1);
  for (int i = 0; i < 50; ++i) {
    locality.OnOutcome(true, 1);
    locality.OnOutcome(false, 0);
  }
  EXPECT_DOUBLE_EQ(locality.preference(), 0);
  Random random(1);
  EXPECT_DOUBLE_EQ(locality.CrossingWorkMs(10, random), 0);
}

TEST(ZoneLocality, KeepsThePreferenceWhenAllZonesLoseAlike) {
  ZoneLocality locality(0.1);
  for (int i = 0; i < 100; ++i) {
    locality.OnOutcome(true, 1);
    for (int k = 0; k < 3; ++k) locality.OnOutcome(false, 1);
  }
  EXPECT_GT(locality.preference(), 0.9);
}

TEST(ZoneLocality, DrawsNothingWhereACrossingCostsNothing) {
  ZoneLocality locality(0);
  Random random(1), untouched(1);
  EXPECT_DOUBLE_EQ(locality.CrossingWorkMs(10, random), 0);
  EXPECT_EQ(random.Unit(), untouched.Unit());
}

}  // namespace
}  // namespace copperpoint
