// SPDX-License-Identifier: Apache-2.0
//
// Invalid events and extreme settings. Guards against a crash, an endless wait or a decision that rests on
// NaN.
#include <gtest/gtest.h>

#include <limits>

#include "support/balancer_fixture.h"

namespace copperpoint::testing {
namespace {

TEST(InvalidEvents, AreIgnoredOrRejected) {
  const double inf = std::numeric_limits<double>::infinity(), nan = std::numeric_limits<double>::quiet_NaN();
  BalancerHarness harness;
  EXPECT_FALSE(harness.SubmitRequest(1, 0).has_value()) << "before the first list the request is queued";
  harness.UpdateEndpoints({});
  harness.CompleteAttempt(77, 0, 1, AttemptOutcome::kSuccess);
  harness.Handle(ClientDisconnected{77});
  harness.Handle(ResponseStarted{77, 0});
  harness.SetBackends(1);
  EXPECT_EQ(harness.AttemptBackend(1), BackendId{1}) << "the queued request is sent once a backend is listed";
  harness.CompleteAttempt(1, 9, 1, AttemptOutcome::kSuccess);
  harness.CompleteAttempt(1, -1, 1, AttemptOutcome::kSuccess);
  harness.SubmitRequest(1, 0);
  EXPECT_FALSE(harness.AttemptBackend(1).has_value()) << "a request with the id of an open one is ignored";
  harness.SubmitRequest(2, 99);
  EXPECT_EQ(harness.CountActions<RejectRequest>(), 1) << "a request of an unknown class is rejected";
  harness.SubmitRequest(3, 0, 10, -50);
  EXPECT_EQ(harness.CountActions<RejectRequest>(), 1) << "a request with a deadline in the past is rejected";
  for (double work : {0.0, -5.0, inf, nan, 1e300}) {
    const RequestId id = 100 + next_request_id++;
    RequestReceived s;
    s.request = id;
    s.deadline = At(harness.now + 500);
    s.has_work_estimate = true;
    s.estimated_work_ms = work;
    s.tenant = 4000;
    harness.Handle(s);
    ASSERT_TRUE(harness.AttemptBackend(id).has_value()) << work;
    AttemptCompleted e;
    e.request = id;
    e.backend = 1;
    e.outcome = AttemptOutcome::kSuccess;
    e.request_completed = true;
    e.duration = Duration(nan);
    harness.Handle(e);
  }
  EXPECT_TRUE(harness.SubmitRequest(next_request_id + 1000, 0).has_value());
}

TEST(ExtremeSettings, ServesAThousandBackendsWithoutWorkEstimates) {
  Settings settings = DefaultSettings();
  settings.proxy_count = 3000;
  settings.proxy_index = 2999;
  BalancerHarness harness(settings);
  harness.SetBackends(1000);
  for (int i = 0; i < 100; ++i) {
    const RequestId id = next_request_id++;
    const auto backend = harness.SubmitRequest(id, i % 3, 0, 900);
    ASSERT_TRUE(backend.has_value());
    harness.CompleteAttempt(id, 0, *backend, AttemptOutcome::kSuccess);
    harness.AdvanceTime(200);
  }
}

}  // namespace
}  // namespace copperpoint::testing
