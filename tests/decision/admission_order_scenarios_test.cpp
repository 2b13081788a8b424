// SPDX-License-Identifier: Apache-2.0
//
// Which of the requests that wait goes first.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "support/balancer_fixture.h"

namespace copperpoint::testing {
namespace {

TEST(AdmissionOrder, HigherPriorityGoesFirst) {
  Settings s = DefaultSettings();
  s.classes[2].priority_weight = 1;
  s.classes[0].priority_weight = 9;
  s.proxy_count = 2;
  BalancerHarness harness(s);
  harness.SetBackends(1);
  const RequestId first = next_request_id++;
  ASSERT_TRUE(harness.SubmitRequest(first, 2, 10, 5000).has_value());
  ASSERT_TRUE(harness.SubmitRequest(next_request_id++, 2, 10, 5000).has_value());
  const RequestId poor = next_request_id++, rich = next_request_id++;
  EXPECT_FALSE(harness.SubmitRequest(poor, 2, 10, 5000).has_value());
  EXPECT_FALSE(harness.SubmitRequest(rich, 0, 10, 5000).has_value());
  harness.CompleteAttempt(first, 0, 1, AttemptOutcome::kSuccess, 10);
  std::vector<RequestId> order;
  for (const StartAttempt& d : harness.attempts) order.push_back(d.request);
  const auto rich_at = std::find(order.begin(), order.end(), rich);
  ASSERT_NE(rich_at, order.end());
  EXPECT_EQ(std::find(order.begin(), rich_at, poor), rich_at);
}

TEST(AdmissionOrder, TenantOverItsQuotaGoesLast) {
  Settings s = DefaultSettings();
  s.tenants = {{1}, {1}};
  s.over_quota_weight = 0.2;
  s.proxy_count = 2;
  BalancerHarness harness(s);
  harness.SetBackends(1);
  auto ask = [&](RequestId id, int tenant) {
    RequestReceived submit;
    submit.request = id;
    submit.tenant = tenant;
    submit.deadline = At(harness.now + 900);
    harness.Handle(submit);
    return harness.AttemptBackend(id).has_value();
  };
  EXPECT_TRUE(ask(9001, 0));  // uses up its quota of one request a second
  EXPECT_TRUE(ask(9002, 0));
  EXPECT_FALSE(ask(9003, 1));
  harness.now += 1;
  EXPECT_FALSE(ask(9004, 0)) << "newer, but over its quota";
  harness.CompleteAttempt(9001, 0, 1, AttemptOutcome::kSuccess);
  EXPECT_TRUE(harness.AttemptBackend(9003).has_value());
  EXPECT_FALSE(harness.AttemptBackend(9004).has_value());
}

TEST(AdmissionOrder, OldestGoesFirstAmongEqualPriority) {
  Settings s = DefaultSettings();
  s.proxy_count = 2;
  BalancerHarness harness(s);
  harness.SetBackends(1);
  for (int i = 0; i < 2; ++i)
    ASSERT_TRUE(harness.SubmitRequest(500 + static_cast<RequestId>(i), 0, 10, 900).has_value());
  for (RequestId id : {601u, 602u}) {
    harness.AdvanceTime(10);
    EXPECT_FALSE(harness.SubmitRequest(id, 0, 10, 900).has_value());
  }
  harness.CompleteAttempt(500, 0, 1, AttemptOutcome::kSuccess, 20);
  EXPECT_TRUE(harness.AttemptBackend(601).has_value());
  EXPECT_FALSE(harness.AttemptBackend(602).has_value());
}

}  // namespace
}  // namespace copperpoint::testing
