// SPDX-License-Identifier: Apache-2.0
//
// Which of the backends that may serve a request it is sent to.
#include <gtest/gtest.h>

#include <optional>
#include <set>
#include <vector>

#include "support/balancer_fixture.h"

namespace copperpoint::testing {
namespace {

TEST(BackendSelection, PicksBackendWithLeastEstimatedWorkInFlight) {
  BalancerHarness harness;
  harness.SetBackends(3);
  const auto a = harness.SubmitRequest(1001, 0, 50), b = harness.SubmitRequest(1002, 0, 20),
             c = harness.SubmitRequest(1003, 0, 40);
  EXPECT_EQ(std::set<BackendId>({*a, *b, *c}).size(), 3u);
  EXPECT_EQ(harness.SubmitRequest(1004, 0, 25), b) << "20 ms of work in flight is the least";
  EXPECT_EQ(harness.SubmitRequest(1005, 0, 5), c) << "40 ms is the least after another 25 ms at the second";
}

TEST(BackendSelection, CountsRequestsWhereWorkIsNotEstimated) {
  BalancerHarness harness;
  harness.SetBackends(2);
  const auto a = harness.SubmitRequest(1011, 0, 0), b = harness.SubmitRequest(1012, 0, 0);
  EXPECT_NE(a, b);
  harness.CompleteAttempt(1011, 0, *a, AttemptOutcome::kSuccess);
  EXPECT_EQ(harness.SubmitRequest(1013, 0, 0), a);
}

TEST(BackendSelection, PrefersOwnZoneAmongIdleBackendsWhenCrossingCosts) {
  Settings s = DefaultSettings();
  s.cross_zone_cost = 0.02;
  BalancerHarness harness(s);
  harness.UpdateEndpoints({MakeEndpoint(1, 1), MakeEndpoint(2, 0), MakeEndpoint(3, 1)});
  for (int i = 0; i < 20; ++i) EXPECT_EQ(SubmitAndComplete(harness), BackendId{2});
  harness.SubmitRequest(next_request_id++);
  EXPECT_NE(harness.SubmitRequest(next_request_id++), BackendId{2})
      << "a request in flight outweighs the cost of crossing zones";
}

TEST(BackendSelection, BreaksTiesAtRandom) {
  std::set<BackendId> seen;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    BalancerHarness harness(DefaultSettings(), seed);
    harness.SetBackends(4);
    seen.insert(*harness.SubmitRequest(1));
  }
  EXPECT_EQ(seen.size(), 4u);
}

// A slow backend that responds before its timeout is never ejected, so that selection has to avoid it.
TEST(BackendSelection, CountsSlowerBackendAsBusier) {
  BalancerHarness harness;
  harness.SetBackends(2);
  for (int i = 0; i < 40; ++i) {
    const RequestId id = next_request_id++;
    const auto backend = harness.SubmitRequest(id, 0, 10, 900);
    harness.CompleteAttempt(id, 0, *backend, AttemptOutcome::kSuccess, *backend == 1 ? 60 : 20);
  }
  for (int i = 0; i < 10; ++i) EXPECT_EQ(SubmitAndComplete(harness), BackendId{2});
  // The slower backend is still used while the other one is busy.
  const RequestId busy = next_request_id++;
  EXPECT_EQ(harness.SubmitRequest(busy, 0, 100, 900), BackendId{2});
  EXPECT_EQ(harness.SubmitRequest(next_request_id++, 0, 10, 900), BackendId{1});
}

TEST(BackendSelection, UsesEjectedBackendWhenNoOtherIsReady) {
  BalancerHarness harness;
  harness.SetBackends(3);
  CompleteRequestsOnEach(harness, 3, 3);
  harness.UpdateEndpoints(
      {MakeEndpoint(2, 0, 0, EndpointState::kRemoved), MakeEndpoint(3, 0, 0, EndpointState::kRemoved)},
      EndpointUpdateKind::kIncremental);
  EXPECT_EQ(harness.SubmitRequest(next_request_id++), BackendId{1});
}

// Late responses of the own zone are not failures in the sense of gRFC A50, so that outlier detection doesn't
// eject its backends; requests would stay in an overloaded zone.
TEST(BackendSelection, LeavesOwnZoneOnlyWhenItIsOverloaded) {
  for (const bool overloaded : {true, false}) {
    Settings settings = DefaultSettings();
    settings.cross_zone_cost = 0.06;
    BalancerHarness harness(settings);
    std::vector<Endpoint> list;
    for (BackendId id = 1; id <= 40; ++id) list.push_back(MakeEndpoint(id, id > 20));
    harness.UpdateEndpoints(list);
    int to_other_zone = 0;
    for (int i = 0; i < 120; ++i) {
      harness.AdvanceTime(200);
      const RequestId id = next_request_id++;
      const auto backend = harness.SubmitRequest(id, 2, 10);
      if (!backend) continue;  // the request was rejected because its service time is too long
      if (i >= 40) to_other_zone += *backend > 20;
      const bool late = overloaded && *backend <= 20;  // succeeds, but long after the objective
      if (late) harness.now += 400;
      harness.CompleteAttempt(id, 0, *backend, AttemptOutcome::kSuccess, late ? 400 : 20);
    }
    if (overloaded) {
      EXPECT_GT(to_other_zone, 30) << "of 80 requests, while the own zone is overloaded";
    } else {
      EXPECT_EQ(to_other_zone, 0) << "crossing zones has a cost and gains nothing";
    }
  }
}

}  // namespace
}  // namespace copperpoint::testing
