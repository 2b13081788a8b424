// SPDX-License-Identifier: Apache-2.0
//
// How long a request waits at a proxy that has reached its concurrency limit. Guards against answers that are
// late after a long wait, and against rejections during a short interruption.
#include <gtest/gtest.h>

#include "support/balancer_fixture.h"

namespace copperpoint::testing {
namespace {

// A proxy with two attempts in flight, which is its limit. Further requests are queued.
class ProxyAtLimit : public ::testing::Test {
 protected:
  ProxyAtLimit() : harness_(Limited()) {
    harness_.SetBackends(1);
    for (RequestId id : {1u, 2u})
      EXPECT_TRUE(harness_.SubmitRequest(id, 0, 10 + static_cast<double>(id), 900).has_value());
  }
  static Settings Limited() {
    Settings s = DefaultSettings();
    s.proxy_count = 2;
    s.max_retry_after = Duration(800);
    return s;
  }
  const RejectRequest* RejectionOf(RequestId id) {
    for (const Action& a : harness_.actions) {
      const auto* reject = std::get_if<RejectRequest>(&a);
      if (reject && reject->request == id) return reject;
    }
    return nullptr;
  }
  BalancerHarness harness_;
};

TEST_F(ProxyAtLimit, RejectsClientRetryPastItsObjectiveWithRetryAfter) {
  harness_.SubmitRequest(10, 0, 5, 900);
  harness_.CompleteAttempt(1, 0, 1, AttemptOutcome::kSuccess, 20);  // a response has arrived since
  EXPECT_TRUE(harness_.AttemptBackend(10).has_value());
  harness_.SubmitRequest(11, 0, 6, 900);
  harness_.AdvanceTime(5);
  harness_.CompleteAttempt(2, 0, 1, AttemptOutcome::kSuccess, 20);
  harness_.SubmitRequest(12, 0, 7, 900);
  harness_.AdvanceTime(5);
  harness_.SubmitRequest(13, 0, 8, 900);
  harness_.AdvanceTime(250);  // 12 and 13 have long been rejected; the objective is 200 ms
  harness_.CompleteAttempt(10, 0, 1, AttemptOutcome::kSuccess, 20);
  harness_.CompleteAttempt(11, 0, 1, AttemptOutcome::kSuccess, 20);
  EXPECT_TRUE(harness_.SubmitRequest(20, 0, 4, 900).has_value()) << "there is capacity for others";
  EXPECT_FALSE(harness_.SubmitRequest(22, 0, 8, 900).has_value()) << "a retry of 13 is past its objective";
  const RejectRequest* reject = RejectionOf(22);
  ASSERT_NE(reject, nullptr);
  EXPECT_LE(reject->retry_after, Duration(800));
  EXPECT_GE(reject->retry_after, Duration(0.9 * 800));
}

TEST_F(ProxyAtLimit, QueuesBrieflyWhileResponsesArriveAndLongerWithout) {
  harness_.SubmitRequest(10, 0, 5, 900);
  harness_.AdvanceTime(1);
  harness_.SubmitRequest(11, 0, 6, 900);
  harness_.AdvanceTime(30);
  EXPECT_EQ(RejectionOf(10), nullptr) << "without a response since its arrival, the request waits longer";
  harness_.AdvanceTime(1);
  harness_.CompleteAttempt(1, 0, 1, AttemptOutcome::kSuccess, 20);
  EXPECT_TRUE(harness_.AttemptBackend(10).has_value());
  // Submit requests until eight are queued behind those that are admitted.
  RequestId last = 12;
  for (int waiting = 0; waiting < 8; ++last)
    waiting += !harness_.SubmitRequest(last, 0, static_cast<double>(last), 900);
  harness_.AdvanceTime(1);
  harness_.CompleteAttempt(2, 0, 1, AttemptOutcome::kSuccess, 20);
  const RequestId newest = last - 1;
  ASSERT_FALSE(harness_.AttemptBackend(newest).has_value()) << "older requests are served first";
  harness_.AdvanceTime(30);  // more than 0.08 of the objective
  EXPECT_NE(RejectionOf(newest), nullptr);
}

}  // namespace
}  // namespace copperpoint::testing
