// SPDX-License-Identifier: Apache-2.0
//
// The priority of a request by its class and tenant.
#include <gtest/gtest.h>

#include "decision/request_priority.h"
#include "support/balancer_fixture.h"

namespace copperpoint {
namespace {

using copperpoint::testing::Class;
using copperpoint::testing::Usual;

Settings Judged(ServiceObjective goal) {
  Settings s = Usual();
  s.classes = {Class(Idempotency::kIdempotent), Class(Idempotency::kNonIdempotent)};
  s.classes[0].priority_weight = 5;
  s.classes[1].priority_weight = 3;
  s.tenants = {{100}, {100}};
  s.service_objective = goal;
  return s;
}

TEST(RequestPriority, IsTheWorthWhereNothingElseIsAskedFor) {
  RequestPriority priority(Judged({1, 0, 0}));
  priority.OnOffered(1, 0, 100, true);
  EXPECT_DOUBLE_EQ(priority.PriorityOf(0, 0), 5);
  EXPECT_DOUBLE_EQ(priority.PriorityOf(1, 0), 3);
  EXPECT_EQ(priority.PriorityOf(7, 0), 0);
  EXPECT_DOUBLE_EQ(priority.PriorityOf(0, -1), 5);
}

TEST(RequestPriority, TheWorstServedClassRisesBySoMuchAsTheGoalGainsByIt) {
  RequestPriority priority(Judged({0.5, 0.35, 0}));
  priority.OnOffered(0, 0, 70, true);       // 350 of worth
  priority.OnOffered(1, 0, 50, true);       // 150
  priority.OnServedInTime(0, 0, 70, true);  // all
  priority.OnServedInTime(1, 0, 25, true);  // half
  EXPECT_DOUBLE_EQ(priority.PriorityOf(0, 0), 5 * 0.5);
  EXPECT_DOUBLE_EQ(priority.PriorityOf(1, 0), 3 * (0.5 + 0.35 * 500 / 150));
  EXPECT_GT(priority.PriorityOf(1, 0), priority.PriorityOf(0, 0));
  priority.OnServedInTime(1, 0, 25, true);
  priority.OnOffered(0, 0, 70, true);  // now this one is at half
  EXPECT_GT(priority.PriorityOf(0, 0), priority.PriorityOf(1, 0));
}

TEST(RequestPriority, WhatIsBeyondItsShareDoesNotRaiseAnAccount) {
  RequestPriority priority(Judged({0.5, 0, 0.5}));
  priority.OnOffered(0, 0, 10, true);
  priority.OnServedInTime(0, 0, 10, true);
  priority.OnOffered(0, 1, 10, true);
  priority.OnServedInTime(0, 1, 9, true);
  EXPECT_GT(priority.PriorityOf(0, 1), priority.PriorityOf(0, 0));
  RequestPriority beyond(Judged({0.5, 0, 0.5}));
  beyond.OnOffered(0, 0, 10, true);
  beyond.OnServedInTime(0, 0, 9, true);
  beyond.OnOffered(0, 1, 1000, false);
  EXPECT_GT(beyond.PriorityOf(0, 0), beyond.PriorityOf(0, 1))
      << "the storm of one account moves no other aside";
}

TEST(RequestPriority, SharesAreForgotten) {
  RequestPriority priority(Judged({0.5, 0.5, 0}));
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
