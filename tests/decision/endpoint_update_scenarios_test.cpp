// SPDX-License-Identifier: Apache-2.0
//
// Endpoint lists: when they are polled, and how requests are handled after a change or an empty list.
#include <gtest/gtest.h>

#include <optional>

#include "support/balancer_fixture.h"

namespace copperpoint::testing {
namespace {

TEST(EndpointUpdates, DrainingOrRemovedBackendGetsNoNewRequests) {
  for (EndpointState state : {EndpointState::kDraining, EndpointState::kRemoved}) {
    BalancerHarness harness;
    harness.SetBackends(2);
    harness.UpdateEndpoints({MakeEndpoint(1, 0, 0, state)}, EndpointUpdateKind::kIncremental);
    for (int i = 0; i < 20; ++i) EXPECT_EQ(SubmitAndComplete(harness), BackendId{2});
  }
  BalancerHarness harness;
  harness.SetBackends(2);
  harness.UpdateEndpoints({MakeEndpoint(2)});  // removes backend 1, which is absent from the snapshot
  for (int i = 0; i < 20; ++i) EXPECT_EQ(SubmitAndComplete(harness), BackendId{2});
}

TEST(EndpointPolling, PollsAtStartAndAgainAfterAFailure) {
  Settings s = DefaultSettings();
  s.polls_endpoints = true;
  s.max_poll_interval = Duration(10000);
  BalancerHarness harness(s);
  harness.UpdateEndpoints({MakeEndpoint(1)}, EndpointUpdateKind::kCached);
  EXPECT_EQ(harness.CountActions<PollEndpoints>(), 1);
  harness.AdvanceTime(100);
  EXPECT_EQ(harness.CountActions<PollEndpoints>(), 0) << "only one poll may be outstanding";
  harness.UpdateEndpoints({}, EndpointUpdateKind::kFailed);
  double waited = 0;
  while (harness.CountActions<PollEndpoints>() == 0 && waited < 20000) harness.AdvanceTime(10), waited += 10;
  EXPECT_GE(waited, 200);
  EXPECT_LE(waited, 2500);
  EXPECT_EQ(harness.SubmitRequest(next_request_id++), BackendId{1})
      << "the old list is used after a failed poll";
  harness.UpdateEndpoints({MakeEndpoint(1)});
  for (int i = 0; i < 1000; ++i) {
    harness.AdvanceTime(100);
    EXPECT_EQ(harness.CountActions<PollEndpoints>(), 0);
  }
}

TEST(EndpointPolling, NeverPollsWhereUpdatesArePushed) {
  BalancerHarness harness;
  harness.UpdateEndpoints({MakeEndpoint(1)}, EndpointUpdateKind::kCached);
  for (int i = 0; i < 200; ++i) {
    harness.AdvanceTime(100);
    EXPECT_EQ(harness.CountActions<PollEndpoints>(), 0);
  }
}

TEST(EndpointUpdates, EmptyListQueuesRequestsAndRejectsThemInTime) {
  BalancerHarness harness;
  harness.UpdateEndpoints({});
  EXPECT_FALSE(harness.SubmitRequest(next_request_id++, 0, 10, 1000).has_value());
  EXPECT_EQ(harness.CountActions<RejectRequest>() + harness.CountActions<FailRequest>(), 0);
  double waited = 0;
  while (harness.CountActions<RejectRequest>() == 0 && waited < 2000) harness.AdvanceTime(5), waited += 5;
  EXPECT_EQ(harness.CountActions<RejectRequest>(), 1);
  EXPECT_LE(waited, 1000);
}

TEST(EndpointUpdates, QueuedRequestGoesToFirstListedBackend) {
  BalancerHarness harness;
  harness.UpdateEndpoints({});
  const RequestId id = next_request_id++;
  EXPECT_FALSE(harness.SubmitRequest(id, 2, 10, 1000).has_value());
  harness.now += 20;
  harness.UpdateEndpoints({MakeEndpoint(9)}, EndpointUpdateKind::kIncremental);
  EXPECT_EQ(harness.AttemptBackend(id), std::optional<BackendId>(9));
}

}  // namespace
}  // namespace copperpoint::testing
