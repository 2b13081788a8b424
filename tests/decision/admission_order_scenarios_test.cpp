// SPDX-License-Identifier: Apache-2.0
//
// The order in which queued requests are dispatched. Guards against a request of higher weight, within its
// quota or of greater age being overtaken by another.
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
  const RequestId low_priority = next_request_id++, high_priority = next_request_id++;
  EXPECT_FALSE(harness.SubmitRequest(low_priority, 2, 10, 5000).has_value());
  EXPECT_FALSE(harness.SubmitRequest(high_priority, 0, 10, 5000).has_value());
  harness.CompleteAttempt(first, 0, 1, AttemptOutcome::kSuccess, 10);
  std::vector<RequestId> order;
  for (const StartAttempt& d : harness.attempts) order.push_back(d.request);
  const auto high_priority_at = std::find(order.begin(), order.end(), high_priority);
  ASSERT_NE(high_priority_at, order.end());
  EXPECT_EQ(std::find(order.begin(), high_priority_at, low_priority), high_priority_at);
}

TEST(AdmissionOrder, TenantOverItsQuotaGoesLast) {
  Settings s = DefaultSettings();
  s.tenants = {{1}, {1}};
  s.over_quota_weight = 0.2;
  s.proxy_count = 2;
  BalancerHarness harness(s);
  harness.SetBackends(1);
  auto submit_request = [&](RequestId id, int tenant) {
    RequestReceived request;
    request.request = id;
    request.tenant = tenant;
    request.deadline = At(harness.now + 900);
    harness.Handle(request);
    return harness.AttemptBackend(id).has_value();
  };
  EXPECT_TRUE(submit_request(9001, 0));  // uses up its quota of one request a second
  EXPECT_TRUE(submit_request(9002, 0));
  EXPECT_FALSE(submit_request(9003, 1));
  harness.now += 1;
  EXPECT_FALSE(submit_request(9004, 0)) << "a request over the quota of its tenant is queued as well";
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
