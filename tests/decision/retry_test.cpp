// SPDX-License-Identifier: Apache-2.0
//
// The rules for retries: retry policy, retry budget and attempt timeout.
#include <gtest/gtest.h>

#include "decision/attempt_timeout.h"
#include "decision/retry_budget.h"
#include "decision/retry_policy.h"

namespace copperpoint {
namespace {

TimePoint At(double ms) { return TimePoint{Duration(1e6 + ms)}; }

class RetryPolicyTest : public ::testing::Test {
 protected:
  RetryPolicyTest() { request_.deadline = At(1000); }
  void Ended(AttemptOutcome outcome, double started_ms = 0) {
    AttemptState attempt;
    attempt.backend = 7;
    attempt.started_at = At(started_ms);
    attempt.outstanding = false;
    attempt.may_have_run = RetryPolicy::MayHaveRun(outcome);
    request_.attempts.push_back(attempt);
  }
  RetryPolicy::Permission At100() const { return policy_.PermissionFor(request_, settings_, At(100)); }
  RetryPolicy policy_{3};
  ClassSettings settings_;
  RequestState request_;
};

TEST_F(RetryPolicyTest, PermitsTheFirstAttemptUntilTheDeadline) {
  EXPECT_TRUE(At100().may_dispatch);
  EXPECT_FALSE(policy_.PermissionFor(request_, settings_, At(1000)).may_dispatch);
}

TEST_F(RetryPolicyTest, NeverRepeatsANonIdempotentRequestThatMayHaveRun) {
  Ended(AttemptOutcome::kTimeout);
  EXPECT_FALSE(At100().may_dispatch);
  EXPECT_FALSE(At100().may_reject) << "a rejection tells the client that a retry is harmless";
}

TEST_F(RetryPolicyTest, RetriesWhatCertainlyDidNotRun) {
  Ended(AttemptOutcome::kConnectFailure);
  Ended(AttemptOutcome::kBackendRejected);
  EXPECT_TRUE(At100().may_dispatch);
  EXPECT_TRUE(At100().may_reject);
  EXPECT_FALSE(At100().deduplication_anchor.has_value());
}

TEST_F(RetryPolicyTest, EndsAtTheMaximumOfAttempts) {
  for (int i = 0; i < 2; ++i) Ended(AttemptOutcome::kConnectFailure);
  EXPECT_TRUE(At100().may_dispatch);
  EXPECT_TRUE(policy_.NextAttemptIsLast(request_));
  Ended(AttemptOutcome::kConnectFailure);
  EXPECT_FALSE(At100().may_dispatch);
}

TEST_F(RetryPolicyTest, PermitsNothingWhileAnAttemptIsOutstandingOrAfterTheResponseStarted) {
  settings_.idempotency = Idempotency::kIdempotent;
  Ended(AttemptOutcome::kServerError);
  EXPECT_TRUE(At100().may_dispatch);
  request_.attempts[0].outstanding = true;
  EXPECT_FALSE(At100().may_dispatch);
  request_.attempts[0].outstanding = false;
  request_.response_started = true;
  EXPECT_FALSE(At100().may_dispatch);
  EXPECT_FALSE(At100().may_reject);
}

TEST_F(RetryPolicyTest, RepeatsAKeyedRequestOnlyWhereAndWhileTheDuplicateIsRecognised) {
  settings_.idempotency = Idempotency::kIdempotencyKey;
  settings_.deduplication_scope = DeduplicationScope::kZone;
  settings_.deduplication_window = Duration(200);
  Ended(AttemptOutcome::kServerError);
  EXPECT_TRUE(At100().may_dispatch);
  EXPECT_EQ(At100().deduplication_anchor, BackendIndex{7});
  EXPECT_FALSE(At100().may_reject);
  EXPECT_TRUE(policy_.PermissionFor(request_, settings_, At(180)).may_dispatch);
  EXPECT_FALSE(policy_.PermissionFor(request_, settings_, At(181)).may_dispatch)
      << "a retry may start within 0.9 of the deduplication window";
  settings_.deduplication_scope = DeduplicationScope::kAll;
  EXPECT_TRUE(At100().may_reject) << "every backend recognises the client's retry as a duplicate";
}

TEST(DeduplicationScope, CellIsPartOfItsZone) {
  Endpoint anchor, other;
  anchor.zone = 1;
  anchor.cell = 2;
  other.zone = 3;
  other.cell = 2;
  EXPECT_TRUE(RetryPolicy::InDeduplicationScope(DeduplicationScope::kAll, anchor, other));
  EXPECT_FALSE(RetryPolicy::InDeduplicationScope(DeduplicationScope::kZone, anchor, other));
  EXPECT_FALSE(RetryPolicy::InDeduplicationScope(DeduplicationScope::kCell, anchor, other));
  other.zone = 1;
  EXPECT_TRUE(RetryPolicy::InDeduplicationScope(DeduplicationScope::kCell, anchor, other));
}

TEST(RetryBudget, BoundsRetriesToATenthOfTheRequestsAfterABurst) {
  RetryBudget budget;
  for (int i = 0; i < 20; ++i) {
    EXPECT_TRUE(budget.HasToken());
    budget.OnRetry();
  }
  EXPECT_FALSE(budget.HasToken());
  for (int i = 0; i < 11; ++i) budget.OnFirstAttempt();
  EXPECT_TRUE(budget.HasToken());
  budget.OnRetry();
  EXPECT_FALSE(budget.HasToken());
}

class AttemptTimeoutTest : public ::testing::Test {
 protected:
  AttemptTimeoutTest() {
    inputs_.may_retry = inputs_.has_samples = inputs_.backend_has_attempts = true;
    inputs_.time_since_activity = Duration(101);
    inputs_.unlikely_latency = Duration(100);
    inputs_.usual_latency = Duration(20);
    inputs_.now = At(0);
    inputs_.deadline = At(200);
  }
  AttemptTimeoutInputs inputs_;
};

TEST_F(AttemptTimeoutTest, IsTheUnlikelyLatencyAtASilentBackend) {
  EXPECT_EQ(AttemptTimeoutFor(inputs_), Duration(100));
}

TEST_F(AttemptTimeoutTest, IsNoneWhereTheBackendAnsweredLatelyOrOwesNothing) {
  inputs_.time_since_activity = Duration(99);
  EXPECT_EQ(AttemptTimeoutFor(inputs_), Duration(0));
  inputs_.time_since_activity = Duration(500);
  inputs_.backend_has_attempts = false;
  EXPECT_EQ(AttemptTimeoutFor(inputs_), Duration(0));
}

TEST_F(AttemptTimeoutTest, IsNoneWhereTheRetryWouldComeTooLateOrIsNotPermitted) {
  inputs_.deadline = At(119);
  EXPECT_EQ(AttemptTimeoutFor(inputs_), Duration(0));
  inputs_.deadline = At(120);
  EXPECT_EQ(AttemptTimeoutFor(inputs_), Duration(100));
  inputs_.may_retry = false;
  EXPECT_EQ(AttemptTimeoutFor(inputs_), Duration(0));
}

}  // namespace
}  // namespace copperpoint
