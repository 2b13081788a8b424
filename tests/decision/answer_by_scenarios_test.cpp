// SPDX-License-Identifier: Apache-2.0
//
// Requests that the proxy must answer before their client's deadline, because the process is killed earlier.
#include <gtest/gtest.h>

#include <optional>

#include "support/balancer_fixture.h"

namespace copperpoint::testing {
namespace {

constexpr double kClassDeadlineMs = 1000;  // of MakeClass

std::optional<BackendId> SubmitWithAnswerBy(BalancerHarness& harness, RequestId id, double answer_within_ms,
                                            int request_class = 0) {
  RequestReceived request;
  request.request = id;
  request.request_class = request_class;
  request.has_work_estimate = true;
  request.estimated_work_ms = 10;
  request.deadline = At(harness.now + kClassDeadlineMs);
  request.answer_by = At(harness.now + answer_within_ms);
  harness.Handle(request);
  return harness.AttemptBackend(id);
}

// Guards against a request that is rejected because little time is left, although it can be served in it: a
// short deadline tells that the client has waited for long already, and answer_by does not.
TEST(AnswerBy, DoesNotCountAsTimeThatTheClientHasWaited) {
  BalancerHarness harness;
  harness.SetBackends(3);
  for (int i = 0; i < 40; ++i) SubmitAndComplete(harness);  // the client's usual deadline is known
  EXPECT_TRUE(SubmitWithAnswerBy(harness, next_request_id++, 100).has_value());
}

// Guards against a request that is unanswered when the process is killed.
TEST(AnswerBy, EndsTheRequestAsItsDeadlineWould) {
  for (const int request_class : {0, 2}) {
    BalancerHarness harness;
    harness.SetBackends(3);
    const RequestId id = next_request_id++;
    const auto backend = SubmitWithAnswerBy(harness, id, 100, request_class);
    ASSERT_TRUE(backend.has_value());
    harness.now += 100;
    harness.CompleteAttempt(id, 0, *backend, AttemptOutcome::kTimeout);
    EXPECT_FALSE(harness.AttemptBackend(id).has_value());
    EXPECT_EQ(harness.CountActions<RejectRequest>(), request_class == 0 ? 1 : 0);
    EXPECT_EQ(harness.CountActions<FailRequest>(), request_class == 0 ? 0 : 1) << "it may have run";
  }
}

TEST(AnswerBy, StillPermitsARetryBeforeIt) {
  BalancerHarness harness;
  harness.SetBackends(3);
  const RequestId id = next_request_id++;
  const auto backend = SubmitWithAnswerBy(harness, id, 100);
  ASSERT_TRUE(backend.has_value());
  harness.now += 50;
  harness.CompleteAttempt(id, 0, *backend, AttemptOutcome::kConnectFailure);
  EXPECT_TRUE(harness.AttemptBackend(id).has_value());
}

TEST(AnswerBy, RejectsAtOnceWhatIsReadAfterIt) {
  BalancerHarness harness;
  harness.SetBackends(3);
  EXPECT_FALSE(SubmitWithAnswerBy(harness, next_request_id++, 0, 2).has_value());
  EXPECT_EQ(harness.CountActions<RejectRequest>(), 1);
}

}  // namespace
}  // namespace copperpoint::testing
