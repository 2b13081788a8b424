// SPDX-License-Identifier: Apache-2.0
//
// When a backend is ejected for its failures, and when it returns. Guards against a failing backend that
// stays in use, and against ejections by chance or under a general overload.
#include <gtest/gtest.h>

#include <set>

#include "support/balancer_fixture.h"

namespace copperpoint::testing {
namespace {

// Sends traffic that brings each backend to the minimum volume within the interval.
void ReachMinimumVolume(BalancerHarness& harness) {
  for (int i = 0; i < 100; ++i)
    harness.AdvanceTime(5), CompleteOneRequest(harness, AttemptOutcome::kSuccess, {});
}

TEST(OutlierDetection, EjectsAtMinimumVolumeButNotBelow) {
  BalancerHarness harness;
  harness.SetBackends(3);
  CompleteRequestsOnEach(harness, 2, 2);
  EXPECT_TRUE(IsInService(harness, 1)) << "two attempts are below the minimum volume";
  CompleteRequestsOnEach(harness, 1, 1);
  EXPECT_FALSE(IsInService(harness, 1));
}

TEST(OutlierDetection, MinimumVolumeCountsOnlyTheBackendsOwnAttempts) {
  BalancerHarness harness;
  harness.SetBackends(3);
  CompleteRequestsOnEach(harness, 3, 3,
                         AttemptOutcome::kCancelled);  // only the other backends have attempts that count
  CompleteRequestsOnEach(harness, 2, 2);
  EXPECT_TRUE(IsInService(harness, 1));
  CompleteRequestsOnEach(harness, 1, 1);
  EXPECT_FALSE(IsInService(harness, 1));
}

TEST(OutlierDetection, EjectsAtMostHalfOfTheBackends) {
  Settings settings = DefaultSettings();
  settings.max_attempts = 1;
  BalancerHarness harness(settings);
  harness.SetBackends(6);
  std::set<BackendId> backends_in_use;
  for (int i = 0; i < 120; ++i) {
    const RequestId id = next_request_id++;
    const auto backend = harness.SubmitRequest(id, 2, 10, 5000);
    ASSERT_TRUE(backend.has_value());
    if (i >= 80) backends_in_use.insert(*backend);
    harness.CompleteAttempt(id, 0, *backend,
                            *backend <= 4 ? AttemptOutcome::kConnectionReset : AttemptOutcome::kSuccess);
  }
  EXPECT_EQ(backends_in_use.size(), 3u) << "four of six backends always fail, and three of them are ejected";
}

TEST(OutlierDetection, RestoredStateKeepsEjectionForItsRemainingTime) {
  BalancerHarness before;
  before.SetBackends(3);
  CompleteRequestsOnEach(before, 3, 3);
  ASSERT_FALSE(IsInService(before, 1));
  before.AdvanceTime(500);
  const auto exported = before.ExportState();
  ASSERT_EQ(exported.size(), 1u);
  EXPECT_EQ(exported[0].ejection_multiplier, 1);

  BalancerHarness next;
  next.now = before.now;
  next.SetBackends(3);
  EXPECT_TRUE(IsInService(next, 1));
  StateRestored restored{exported};
  restored.backends.push_back({99, 3, Duration(1000), 0});  // a backend that isn't in the endpoint list
  next.Handle(restored);
  EXPECT_FALSE(IsInService(next, 1));
  next.AdvanceTime(exported[0].ejection_remaining.count() - 1);
  EXPECT_FALSE(IsInService(next, 1));
  next.AdvanceTime(2);
  EXPECT_TRUE(IsInService(next, 1));
}

TEST(OutlierDetection, FailureRateAtThresholdDoesNotEject) {
  BalancerHarness at;
  at.SetBackends(3);
  // 2 failures of 5 are exactly 0.4. The successes come first, so that the fraction was never higher before.
  for (int i = 0; i < 5; ++i) CompleteRequestsOnEach(at, 1, i >= 3 ? 1 : 0);
  EXPECT_TRUE(IsInService(at, 1));
  BalancerHarness over;
  over.SetBackends(3);
  for (int i = 0; i < 4; ++i) CompleteRequestsOnEach(over, 1, i >= 2 ? 1 : 0);
  EXPECT_FALSE(IsInService(over, 1));
}

TEST(OutlierDetection, DoesNotEjectTheOnlyBackend) {
  BalancerHarness harness;
  harness.SetBackends(1);
  for (int i = 0; i < 10; ++i) CompleteOneRequest(harness, AttemptOutcome::kServerError, {1});
  EXPECT_TRUE(IsInService(harness, 1)) << "a single backend can't be compared with others";
}

TEST(OutlierDetection, IgnoresCancelledAndUnsentAttempts) {
  for (AttemptOutcome outcome :
       {AttemptOutcome::kCancelled, AttemptOutcome::kNotSent, AttemptOutcome::kUnknown}) {
    Settings settings = DefaultSettings();
    settings.max_attempts = 1;
    BalancerHarness harness(settings);
    harness.SetBackends(3);
    CompleteRequestsOnEach(harness, 6, 6, outcome);
    EXPECT_TRUE(IsInService(harness, 1));
  }
}

TEST(OutlierDetection, EjectsOnEveryKindOfFailure) {
  for (AttemptOutcome outcome :
       {AttemptOutcome::kServerError, AttemptOutcome::kBackendRejected, AttemptOutcome::kTimeout,
        AttemptOutcome::kConnectFailure, AttemptOutcome::kConnectionReset}) {
    Settings s = DefaultSettings();
    s.max_attempts = 1;
    BalancerHarness harness(s);
    harness.SetBackends(3);
    CompleteRequestsOnEach(harness, 3, 3, outcome);
    EXPECT_FALSE(IsInService(harness, 1)) << static_cast<int>(outcome);
  }
}

TEST(OutlierDetection, ReturnsAfterBaseEjectionTime) {
  BalancerHarness harness;
  harness.SetBackends(3);
  CompleteRequestsOnEach(harness, 3, 3);
  EXPECT_FALSE(IsInService(harness, 1));
  harness.AdvanceTime(1999);
  EXPECT_FALSE(IsInService(harness, 1));
  harness.AdvanceTime(1);
  EXPECT_TRUE(IsInService(harness, 1)) << "a first ejection lasts for the base ejection time";
}

TEST(OutlierDetection, EjectionAfterReturnLastsNoLonger) {
  BalancerHarness harness;
  harness.SetBackends(3);
  ReachMinimumVolume(harness);
  harness.AdvanceTime(1500);
  // The multiplier is 1 at the ejection, 0 at the return and 1 at the next ejection, so that each ejection
  // lasts equally long, as in gRFC A50, step 6b.
  for (int round = 0; round < 3; ++round) {
    CompleteRequestsOnEach(harness, 3, 3);
    EXPECT_FALSE(IsInService(harness, 1));
    harness.AdvanceTime(2000);
    EXPECT_TRUE(IsInService(harness, 1));
    harness.AdvanceTime(2000);
  }
}

TEST(OutlierDetection, MultiplierFallsAtReturnBeforeTheIntervalEnds) {
  BalancerHarness harness;
  harness.SetBackends(3);
  ReachMinimumVolume(harness);
  harness.AdvanceTime(1500);
  harness.AdvanceTime(1000);  // half way through an interval
  CompleteRequestsOnEach(harness, 3, 3);
  harness.AdvanceTime(1500);  // the interval ends while the backend is ejected
  harness.AdvanceTime(500);
  EXPECT_TRUE(IsInService(harness, 1));
  CompleteRequestsOnEach(harness, 3, 3);
  EXPECT_FALSE(IsInService(harness, 1));
  harness.AdvanceTime(2000);
  EXPECT_TRUE(IsInService(harness, 1))
      << "with a multiplier that had not fallen, it would last twice as long";
}

// In a large fleet, no backend gets three attempts within two seconds, so that the usual minimum volume would
// never be reached.
TEST(OutlierDetection, EjectsOnFewAttemptsWhenChanceIsUnlikely) {
  for (const bool failing_elsewhere : {false, true}) {
    BalancerHarness harness;
    harness.SetBackends(8);
    int sent = 0, after_two = 0;
    for (int i = 0; i < 120; ++i) {
      harness.AdvanceTime(250);
      const RequestId id = next_request_id++;
      const auto backend = harness.SubmitRequest(id, 2, 10);
      ASSERT_TRUE(backend.has_value());
      const bool fails = *backend == 1 || (failing_elsewhere && i % 3 == 0);
      harness.CompleteAttempt(id, 0, *backend,
                              fails ? AttemptOutcome::kServerError : AttemptOutcome::kSuccess);
      if (*backend == 1 && ++sent > 2) ++after_two;
    }
    if (!failing_elsewhere) {
      EXPECT_LE(sent, 7) << "one or two failures eject the backend; an eighth of 120 attempts would be 15";
    } else {
      EXPECT_GT(after_two, 2) << "if a third fails everywhere, two failures may be chance";
    }
  }
}

TEST(OutlierDetection, LeavesHalfInServiceWhenAllFail) {
  BalancerHarness harness;
  harness.SetBackends(4);
  for (int i = 0; i < 60; ++i) {
    const RequestId id = next_request_id++;
    const auto backend = harness.SubmitRequest(id, 2, 10, 5000);
    ASSERT_TRUE(backend.has_value());
    harness.CompleteAttempt(id, 0, *backend, AttemptOutcome::kServerError);
  }
  std::set<BackendId> in;
  for (BackendId backend = 1; backend <= 4; ++backend) {
    if (IsInService(harness, backend)) in.insert(backend);
  }
  EXPECT_GE(in.size(), 2u) << "at most half of the backends may be ejected";
}

TEST(OutlierDetection, EjectsNoneWhenAllFailAlike) {
  BalancerHarness harness;
  harness.SetBackends(3);
  for (int i = 0; i < 40; ++i) CompleteOneRequest(harness, AttemptOutcome::kServerError, {1, 2, 3});
  int in = 0;
  for (BackendId backend = 1; backend <= 3; ++backend) in += IsInService(harness, backend);
  EXPECT_EQ(in, 3);
}

// A threshold of twice the failure rate of the other backends would be 1 here, and could not be exceeded.
TEST(OutlierDetection, EjectsBackendThatAlwaysFailsWhenHalfOfTheOthersFail) {
  Settings settings = DefaultSettings();
  settings.max_attempts = 1;
  BalancerHarness harness(settings);
  harness.SetBackends(4);
  for (int i = 0; i < 24; ++i) {
    const RequestId id = next_request_id++;
    const auto backend = harness.SubmitRequest(id, 2, 10, 5000);
    ASSERT_TRUE(backend.has_value());
    harness.CompleteAttempt(id, 0, *backend,
                            *backend == 1 || i % 2 ? AttemptOutcome::kServerError : AttemptOutcome::kSuccess);
  }
  EXPECT_FALSE(IsInService(harness, 1));
}

TEST(OutlierDetection, EjectionOutlastsRemovalFromTheList) {
  BalancerHarness harness;
  harness.SetBackends(3);
  CompleteRequestsOnEach(harness, 3, 3);
  harness.UpdateEndpoints({MakeEndpoint(1, 0, 0, EndpointState::kRemoved)}, EndpointUpdateKind::kIncremental);
  harness.UpdateEndpoints({MakeEndpoint(1)}, EndpointUpdateKind::kIncremental);
  EXPECT_FALSE(IsInService(harness, 1));
}

}  // namespace
}  // namespace copperpoint::testing
