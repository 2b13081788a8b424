// SPDX-License-Identifier: Apache-2.0
//
// The priority of a request by its class and tenant.
#include <gtest/gtest.h>

#include "overload/priority.h"
#include "support/balancer_fixture.h"

namespace copperpoint::overload {
namespace {

using copperpoint::testing::DefaultSettings;
using copperpoint::testing::MakeClass;

Settings SettingsWithObjective(ServiceObjective goal) {
  Settings s = DefaultSettings();
  s.classes = {MakeClass(Idempotency::kIdempotent), MakeClass(Idempotency::kNonIdempotent)};
  s.classes[0].priority_weight = 5;
  s.classes[1].priority_weight = 3;
  s.tenants = {{100}, {100}};
  s.service_objective = goal;
  return s;
}

TEST(Priority, EqualsWeightOfItsClassByDefault) {
  Priority priority(SettingsWithObjective({1, 0, 0}));
  priority.Asked(1, 0, 100, true);
  EXPECT_DOUBLE_EQ(priority.Of(0, 0), 5);
  EXPECT_DOUBLE_EQ(priority.Of(1, 0), 3);
  EXPECT_EQ(priority.Of(7, 0), 0);
  EXPECT_DOUBLE_EQ(priority.Of(0, -1), 5);
}

TEST(Priority, WorstServedClassRisesByGainOfTheObjective) {
  Priority priority(SettingsWithObjective({0.5, 0.35, 0}));
  priority.Asked(0, 0, 70, true);   // 350 of weight
  priority.Asked(1, 0, 50, true);   // 150
  priority.InTime(0, 0, 70, true);  // all
  priority.InTime(1, 0, 25, true);  // half
  EXPECT_DOUBLE_EQ(priority.Of(0, 0), 5 * 0.5);
  EXPECT_DOUBLE_EQ(priority.Of(1, 0), 3 * (0.5 + 0.35 * 500 / 150));
  EXPECT_GT(priority.Of(1, 0), priority.Of(0, 0));
  priority.InTime(1, 0, 25, true);
  priority.Asked(0, 0, 70, true);  // now this one is at half
  EXPECT_GT(priority.Of(0, 0), priority.Of(1, 0));
}

TEST(Priority, RequestsOverQuotaDoNotRaiseTheirTenant) {
  Priority priority(SettingsWithObjective({0.5, 0, 0.5}));
  priority.Asked(0, 0, 10, true);
  priority.InTime(0, 0, 10, true);
  priority.Asked(0, 1, 10, true);
  priority.InTime(0, 1, 9, true);
  EXPECT_GT(priority.Of(0, 1), priority.Of(0, 0));
  Priority beyond(SettingsWithObjective({0.5, 0, 0.5}));
  beyond.Asked(0, 0, 10, true);
  beyond.InTime(0, 0, 9, true);
  beyond.Asked(0, 1, 1000, false);
  EXPECT_GT(beyond.Of(0, 0), beyond.Of(0, 1)) << "a storm of one tenant does not displace another";
}

TEST(Priority, PastCountsDecay) {
  Priority priority(SettingsWithObjective({0.5, 0.5, 0}));
  priority.Asked(0, 0, 1000, true);
  priority.InTime(0, 0, 1000, true);
  priority.Asked(1, 0, 1000, true);
  priority.Forget(Priority::kMemory * 20);
  priority.Asked(0, 0, 1, true);
  priority.Asked(1, 0, 1, true);
  priority.InTime(1, 0, 1, true);
  EXPECT_GT(priority.Of(0, 0), priority.Of(1, 0));
}

}  // namespace
}  // namespace copperpoint::overload
