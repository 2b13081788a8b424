// SPDX-License-Identifier: Apache-2.0
//
// Whether a request is sent again after a failed attempt, and where; and attempt timeouts. Guards against a
// request that is executed twice, and against retries that multiply the load.
#include <gtest/gtest.h>

#include <optional>

#include "support/balancer_fixture.h"

namespace copperpoint::testing {
namespace {

// What is expected after an attempt of `request_class` with `outcome`: `retried`, another attempt starts;
// `may_reject`, the request is rejected and not failed if there is no attempt left.
struct Expectation {
  int request_class;
  AttemptOutcome outcome;
  bool retried, may_reject;
};

TEST(Retry, RetriesOrRejectsOnlyWhatIsPermitted) {
  const Expectation expectations[] = {
      {0, AttemptOutcome::kServerError, true, true},       {0, AttemptOutcome::kTimeout, true, true},
      {0, AttemptOutcome::kConnectionReset, true, true},   {0, AttemptOutcome::kBackendRejected, true, true},
      {0, AttemptOutcome::kConnectFailure, true, true},    {1, AttemptOutcome::kServerError, true, false},
      {1, AttemptOutcome::kTimeout, true, false},          {1, AttemptOutcome::kBackendRejected, true, true},
      {1, AttemptOutcome::kConnectFailure, true, true},    {1, AttemptOutcome::kConnectionReset, true, false},
      {2, AttemptOutcome::kServerError, false, false},     {2, AttemptOutcome::kTimeout, false, false},
      {2, AttemptOutcome::kConnectionReset, false, false}, {2, AttemptOutcome::kUnknown, false, false},
      {2, AttemptOutcome::kBackendRejected, true, true},   {2, AttemptOutcome::kConnectFailure, true, true},
      {2, AttemptOutcome::kCancelled, false, false},
  };
  for (const Expectation& expectation : expectations) {
    SCOPED_TRACE(::testing::Message() << "class " << expectation.request_class << " outcome "
                                      << static_cast<int>(expectation.outcome));
    BalancerHarness harness;
    harness.SetBackends(3);
    const auto first = harness.SubmitRequest(1, expectation.request_class);
    ASSERT_TRUE(first.has_value());
    harness.CompleteAttempt(1, 0, *first, expectation.outcome);
    EXPECT_EQ(harness.AttemptBackend(1).has_value(), expectation.retried);
    if (expectation.retried) {
      EXPECT_NE(harness.AttemptBackend(1), first) << "a retry goes to another backend";
    } else {
      EXPECT_EQ(harness.CountActions<FailRequest>(), 1);
    }
    // If no attempt is left, the request may be rejected only if it has had no effect or may be repeated.
    Settings s = DefaultSettings();
    s.max_attempts = 1;
    BalancerHarness without_retry(s);
    without_retry.SetBackends(3);
    const auto only = without_retry.SubmitRequest(1, expectation.request_class);
    without_retry.CompleteAttempt(1, 0, *only, expectation.outcome);
    EXPECT_EQ(without_retry.CountActions<RejectRequest>(), expectation.may_reject ? 1 : 0);
    EXPECT_EQ(without_retry.CountActions<FailRequest>(), expectation.may_reject ? 0 : 1);
  }
}

TEST(Retry, IdempotencyKeyRetriesStayWithinScopeAndWindow) {
  for (int removed : {0, 1}) {
    BalancerHarness harness;
    harness.UpdateEndpoints(
        {MakeEndpoint(1, 0, 1), MakeEndpoint(2, 0, 1), MakeEndpoint(3, 0, 2), MakeEndpoint(4, 1, 1)});
    BackendId first = *harness.SubmitRequest(next_request_id, 1);
    while (first > 2) {  // start in the cell of backends 1 and 2
      harness.CompleteAttempt(next_request_id, 0, first, AttemptOutcome::kSuccess);
      first = *harness.SubmitRequest(++next_request_id, 1);
    }
    if (removed)
      harness.UpdateEndpoints({MakeEndpoint(3 - first, 0, 1, EndpointState::kRemoved)},
                              EndpointUpdateKind::kIncremental);
    harness.now += 100;
    harness.CompleteAttempt(next_request_id, 0, first, AttemptOutcome::kServerError);
    EXPECT_EQ(harness.AttemptBackend(next_request_id), removed ? first : 3 - first);
    harness.now += 401;  // past the 500 ms window
    harness.CompleteAttempt(next_request_id, 1, removed ? first : 3 - first, AttemptOutcome::kServerError);
    EXPECT_FALSE(harness.AttemptBackend(next_request_id).has_value());
    EXPECT_EQ(harness.CountActions<FailRequest>(), 1);
    ++next_request_id;
  }
}

// Guards against a second execution: the retry may be written much later than it is decided, so it carries
// the latest time for that, 150 ms before the end of the 500 ms window of the first attempt that may have
// run.
TEST(Retry, IdempotencyKeyRetryCarriesTheTimeToBeSentBy) {
  BalancerHarness harness;
  harness.SetBackends(3);
  const RequestId id = next_request_id++;
  const auto first = harness.SubmitRequest(id, 1);
  EXPECT_GT(harness.attempts.back().send_by, At(harness.now + 1e9)) << "the first attempt has no limit";
  const double first_started = harness.now;
  harness.now += 100;
  harness.CompleteAttempt(id, 0, *first, AttemptOutcome::kServerError);
  const auto second = harness.AttemptBackend(id);
  ASSERT_TRUE(second.has_value());
  EXPECT_EQ(harness.attempts.back().send_by, At(first_started + 350));
  harness.now += 100;
  harness.CompleteAttempt(id, 1, *second, AttemptOutcome::kServerError);
  ASSERT_TRUE(harness.AttemptBackend(id).has_value());
  EXPECT_EQ(harness.attempts.back().send_by, At(first_started + 350)) << "the window does not start again";
  harness.now += 150;
  harness.CompleteAttempt(id, 2, *harness.AttemptBackend(id), AttemptOutcome::kNotSent);
  EXPECT_FALSE(harness.AttemptBackend(id).has_value());
  EXPECT_EQ(harness.CountActions<FailRequest>(), 1)
      << "an attempt that was not sent in time ends the request";
}

// The balancer sends no hedged requests.
TEST(Retry, HasOneAttemptAtATime) {
  BalancerHarness harness;
  harness.SetBackends(3);
  for (int i = 0; i < 30; ++i) CompleteOneRequest(harness, AttemptOutcome::kSuccess, {});
  for (int i = 0; i < 30; ++i) {
    const RequestId id = next_request_id++;
    harness.CompleteAttempt(id, 0, *harness.SubmitRequest(id, 0), AttemptOutcome::kSuccess);
  }
  const RequestId id = next_request_id++;
  harness.SubmitRequest(id, 0);
  harness.attempts.clear();
  for (int i = 0; i < 100; ++i) harness.AdvanceTime(9);
  EXPECT_TRUE(harness.attempts.empty());
}

// If an attempt that is merely late were cancelled and retried, its work would be done twice.
TEST(Retry, RespondingBackendGetsNoAttemptTimeout) {
  BalancerHarness harness;
  harness.SetBackends(1);
  for (int i = 0; i < 40; ++i) SubmitAndComplete(harness);
  harness.SubmitRequest(next_request_id++, 0, 10, 900);
  EXPECT_EQ(harness.attempts.back().timeout.count(), 0) << "no other attempt is outstanding at the backend";
  harness.AdvanceTime(5);
  harness.SubmitRequest(next_request_id++, 0, 10, 900);
  EXPECT_EQ(harness.attempts.back().timeout.count(), 0) << "the outstanding attempt is not overdue";
}

TEST(Retry, SilentBackendGetsAttemptTimeoutWhereRetryIsPermitted) {
  for (int request_class : {0, 1, 2}) {
    BalancerHarness harness;
    harness.SetBackends(1);
    for (int i = 0; i < 40; ++i) {
      const RequestId id = next_request_id++;
      harness.CompleteAttempt(id, 0, *harness.SubmitRequest(id, request_class), AttemptOutcome::kSuccess);
    }
    harness.SubmitRequest(next_request_id++, request_class, 10, 2000);
    harness.AdvanceTime(300);
    const RequestId id = next_request_id++;
    ASSERT_TRUE(harness.SubmitRequest(id, request_class, 10, 2000).has_value());
    EXPECT_EQ(harness.attempts.back().timeout.count() > 0, request_class != 2);
  }
}

TEST(Retry, RejectsAfterMaxAttempts) {
  Settings s = DefaultSettings();
  s.max_attempts = 2;
  BalancerHarness harness(s);
  harness.SetBackends(5);
  const auto first = harness.SubmitRequest(1, 0);
  harness.CompleteAttempt(1, 0, *first, AttemptOutcome::kConnectFailure);
  const auto second = harness.AttemptBackend(1);
  ASSERT_TRUE(second.has_value());
  harness.CompleteAttempt(1, 1, *second, AttemptOutcome::kConnectFailure);
  EXPECT_FALSE(harness.AttemptBackend(1).has_value());
  EXPECT_EQ(harness.CountActions<RejectRequest>(), 1);
}

TEST(Retry, RetryBudgetLimitsRetriesWhenAllFail) {
  BalancerHarness harness;
  harness.SetBackends(5);
  for (int i = 0; i < 300; ++i) {
    const RequestId id = next_request_id++;
    auto backend = harness.SubmitRequest(id, 0);
    for (int attempt = 0; backend; ++attempt) {
      harness.CompleteAttempt(id, attempt, *backend, AttemptOutcome::kServerError);
      backend = harness.AttemptBackend(id);
    }
  }
  EXPECT_LE(harness.attempts.size(), 300u + 20u + 61u)
      << "20 retries at once and a fifth of the first attempts";
  EXPECT_GE(harness.attempts.size(), 300u + 20u);
}

}  // namespace
}  // namespace copperpoint::testing
