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
  settings_.deduplication_window = Duration(500);
  Ended(AttemptOutcome::kServerError);
  EXPECT_TRUE(At100().may_dispatch);
  EXPECT_EQ(At100().deduplication_anchor, BackendIndex{7});
  EXPECT_FALSE(At100().may_reject);
  settings_.deduplication_scope = DeduplicationScope::kAll;
  EXPECT_TRUE(At100().may_reject) << "every backend recognises the client's retry as a duplicate";
}

// Guards against a second execution: the process may be suspended for 150 ms after it has read the clock, and
// the retry must be written within the deduplication window all the same, whatever the window's length.
TEST_F(RetryPolicyTest, RepeatsAKeyedRequestUntilASuspensionCouldTakeItPastTheWindow) {
  settings_.idempotency = Idempotency::kIdempotencyKey;
  Ended(AttemptOutcome::kConnectFailure, -50);  // has not run, and does not start the window
  Ended(AttemptOutcome::kServerError, 20);
  for (const double window_ms : {160.0, 200.0, 500.0, 900.0}) {
    settings_.deduplication_window = Duration(window_ms);
    const double last_ms = 20 + window_ms - 150;
    const auto permission = policy_.PermissionFor(request_, settings_, At(last_ms - 0.1));
    EXPECT_TRUE(permission.may_dispatch) << window_ms;
    EXPECT_EQ(permission.send_by, At(last_ms)) << window_ms;
    EXPECT_FALSE(policy_.PermissionFor(request_, settings_, At(last_ms)).may_dispatch) << window_ms;
  }
}

TEST_F(RetryPolicyTest, OnlyARepeatOfAKeyedRequestHasATimeToBeSentBy) {
  settings_.deduplication_window = Duration(500);
  for (const auto idempotency : {Idempotency::kIdempotent, Idempotency::kIdempotencyKey}) {
    settings_.idempotency = idempotency;
    EXPECT_EQ(At100().send_by, kNever) << "the first attempt";
  }
  Ended(AttemptOutcome::kBackendRejected);
  EXPECT_EQ(At100().send_by, kNever) << "no attempt has run";
  settings_.idempotency = Idempotency::kIdempotent;
  Ended(AttemptOutcome::kServerError);
  EXPECT_EQ(At100().send_by, kNever) << "an idempotent request";
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

// An attempt that is cancelled when its request may not be sent again fails the request for nothing.
TEST_F(AttemptTimeoutTest, IsNoneWhereTheRetryWouldStartAfterTheDeduplicationWindow) {
  inputs_.retry_by = At(100);
  EXPECT_EQ(AttemptTimeoutFor(inputs_), Duration(0));
  inputs_.retry_by = At(101);
  EXPECT_EQ(AttemptTimeoutFor(inputs_), Duration(100));
}

}  // namespace
}  // namespace copperpoint
