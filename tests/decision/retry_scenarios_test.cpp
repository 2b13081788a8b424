// SPDX-License-Identifier: Apache-2.0
//
// After an attempt has failed: whether the request is sent again, and where; attempt timeouts.
#include <gtest/gtest.h>

#include <optional>

#include "support/balancer_fixture.h"

namespace copperpoint::testing {
namespace {

// What follows the outcome of an attempt of a request class.
struct Expectation {
  int request_class;
  AttemptOutcome outcome;
  bool again, rejectable;
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
  for (const Expectation& v : expectations) {
    SCOPED_TRACE(::testing::Message()
                 << "class " << v.request_class << " outcome " << static_cast<int>(v.outcome));
    BalancerHarness harness;
    harness.SetBackends(3);
    const auto first = harness.SubmitRequest(1, v.request_class);
    ASSERT_TRUE(first.has_value());
    harness.CompleteAttempt(1, 0, *first, v.outcome);
    EXPECT_EQ(harness.AttemptBackend(1).has_value(), v.again);
    if (v.again) {
      EXPECT_NE(harness.AttemptBackend(1), first) << "elsewhere";
    } else {
      EXPECT_EQ(harness.CountActions<FailRequest>(), 1);
    }
    // With no attempt left: rejected only where that is permitted.
    Settings s = DefaultSettings();
    s.max_attempts = 1;
    BalancerHarness last(s);
    last.SetBackends(3);
    const auto only = last.SubmitRequest(1, v.request_class);
    last.CompleteAttempt(1, 0, *only, v.outcome);
    EXPECT_EQ(last.CountActions<RejectRequest>(), v.rejectable ? 1 : 0);
    EXPECT_EQ(last.CountActions<FailRequest>(), v.rejectable ? 0 : 1);
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

// There are no hedged requests.
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

// A timeout of what is merely late would double its work.
TEST(Retry, RespondingBackendGetsNoAttemptTimeout) {
  BalancerHarness harness;
  harness.SetBackends(1);
  for (int i = 0; i < 40; ++i) SubmitAndComplete(harness);
  harness.SubmitRequest(next_request_id++, 0, 10, 900);
  EXPECT_EQ(harness.attempts.back().timeout.count(), 0) << "nothing is outstanding there yet";
  harness.AdvanceTime(5);
  harness.SubmitRequest(next_request_id++, 0, 10, 900);
  EXPECT_EQ(harness.attempts.back().timeout.count(), 0) << "what is outstanding is not overdue";
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
    auto s = harness.SubmitRequest(id, 0);
    for (int attempt = 0; s; ++attempt) {
      harness.CompleteAttempt(id, attempt, *s, AttemptOutcome::kServerError);
      s = harness.AttemptBackend(id);
    }
  }
  EXPECT_LE(harness.attempts.size(), 300u + 20u + 61u) << "a budget of 20, and a fifth of the first attempts";
  EXPECT_GE(harness.attempts.size(), 300u + 20u);
}

}  // namespace
}  // namespace copperpoint::testing
