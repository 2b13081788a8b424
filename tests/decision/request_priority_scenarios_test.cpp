// SPDX-License-Identifier: Apache-2.0
//
// The priority of a request, which depends on its class and its tenant.
#include <gtest/gtest.h>

#include "decision/request_priority.h"
#include "support/balancer_fixture.h"

namespace copperpoint {
namespace {

using copperpoint::testing::DefaultSettings;
using copperpoint::testing::MakeClass;

Settings SettingsWithObjective(ServiceObjective objective) {
  Settings s = DefaultSettings();
  s.classes = {MakeClass(Idempotency::kIdempotent), MakeClass(Idempotency::kNonIdempotent)};
  s.classes[0].priority_weight = 5;
  s.classes[1].priority_weight = 3;
  s.tenants = {{100}, {100}};
  s.service_objective = objective;
  return s;
}

TEST(RequestPriority, EqualsWeightOfItsClassByDefault) {
  RequestPriority priority(SettingsWithObjective({1, 0, 0}));
  priority.OnOffered(1, 0, 100, true);
  EXPECT_DOUBLE_EQ(priority.PriorityOf(0, 0), 5);
  EXPECT_DOUBLE_EQ(priority.PriorityOf(1, 0), 3);
  EXPECT_EQ(priority.PriorityOf(7, 0), 0);
  EXPECT_DOUBLE_EQ(priority.PriorityOf(0, -1), 5);
}

TEST(RequestPriority, WorstServedClassRisesByGainOfTheObjective) {
  RequestPriority priority(SettingsWithObjective({0.5, 0.35, 0}));
  priority.OnOffered(0, 0, 70, true);       // offered work times weight: 350
  priority.OnOffered(1, 0, 50, true);       // offered work times weight: 150
  priority.OnServedInTime(0, 0, 70, true);  // all of it is served
  priority.OnServedInTime(1, 0, 25, true);  // half of it is served
  EXPECT_DOUBLE_EQ(priority.PriorityOf(0, 0), 5 * 0.5);
  EXPECT_DOUBLE_EQ(priority.PriorityOf(1, 0), 3 * (0.5 + 0.35 * 500 / 150));
  EXPECT_GT(priority.PriorityOf(1, 0), priority.PriorityOf(0, 0));
  priority.OnServedInTime(1, 0, 25, true);
  priority.OnOffered(0, 0, 70, true);  // now half of class 0 is served, and all of class 1
  EXPECT_GT(priority.PriorityOf(0, 0), priority.PriorityOf(1, 0));
}

TEST(RequestPriority, RequestsOverQuotaDoNotRaiseTheirTenant) {
  RequestPriority priority(SettingsWithObjective({0.5, 0, 0.5}));
  priority.OnOffered(0, 0, 10, true);
  priority.OnServedInTime(0, 0, 10, true);
  priority.OnOffered(0, 1, 10, true);
  priority.OnServedInTime(0, 1, 9, true);
  EXPECT_GT(priority.PriorityOf(0, 1), priority.PriorityOf(0, 0));
  RequestPriority over_quota(SettingsWithObjective({0.5, 0, 0.5}));
  over_quota.OnOffered(0, 0, 10, true);
  over_quota.OnServedInTime(0, 0, 9, true);
  over_quota.OnOffered(0, 1, 1000, false);
  EXPECT_GT(over_quota.PriorityOf(0, 0), over_quota.PriorityOf(0, 1))
      << "requests over the quota of one tenant must not displace those of another";
}

TEST(RequestPriority, PastCountsDecay) {
  RequestPriority priority(SettingsWithObjective({0.5, 0.5, 0}));
  priority.OnOffered(0, 0, 1000, true);
  priority.OnServedInTime(0, 0, 1000, true);
  priority.OnOffered(1, 0, 1000, true);
  priority.Decay(RequestPriority::kMemory * 20);
  priority.OnOffered(0, 0, 1, true);
  priority.OnOffered(1, 0, 1, true);
  priority.OnServedInTime(1, 0, 1, true);
  EXPECT_GT(priority.PriorityOf(0, 0), priority.PriorityOf(1, 0));
}

}  // namespace
}  // namespace copperpoint
