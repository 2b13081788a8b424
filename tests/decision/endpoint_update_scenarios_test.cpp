// SPDX-License-Identifier: Apache-2.0
//
// Endpoint lists: when they are polled, and what follows a change or an empty one.
#include <gtest/gtest.h>

#include <optional>

#include "support/balancer_fixture.h"

namespace copperpoint::testing {
namespace {

TEST(Drains, NothingNewFromTheMomentItIsKnown) {
  for (EndpointState state : {EndpointState::kDraining, EndpointState::kRemoved}) {
    Rig rig;
    rig.Servers(2);
    rig.List({Entry(1, 0, 0, state)}, EndpointUpdateKind::kIncremental);
    for (int i = 0; i < 20; ++i) EXPECT_EQ(AskAndEnd(rig), BackendId{2});
  }
  Rig rig;
  rig.Servers(2);
  rig.List({Entry(2)});  // absent from a full list: removed
  for (int i = 0; i < 20; ++i) EXPECT_EQ(AskAndEnd(rig), BackendId{2});
}

TEST(Discovery, AsksAtStartAndAgainAfterAFailure) {
  Settings s = Usual();
  s.polls_endpoints = true;
  s.max_poll_interval = Duration(10000);
  Rig rig(s);
  rig.List({Entry(1)}, EndpointUpdateKind::kCached);
  EXPECT_EQ(rig.Count<PollEndpoints>(), 1);
  rig.Tick(100);
  EXPECT_EQ(rig.Count<PollEndpoints>(), 0) << "one call at a time";
  rig.List({}, EndpointUpdateKind::kFailed);
  double waited = 0;
  while (rig.Count<PollEndpoints>() == 0 && waited < 20000) rig.Tick(10), waited += 10;
  EXPECT_GE(waited, 200);
  EXPECT_LE(waited, 2500);
  EXPECT_EQ(rig.Ask(next_id++), BackendId{1}) << "the old list serves";
  rig.List({Entry(1)});
  for (int i = 0; i < 1000; ++i) {
    rig.Tick(100);
    EXPECT_EQ(rig.Count<PollEndpoints>(), 0);
  }
}

TEST(Discovery, PushIsNeverAsked) {
  Rig rig;
  rig.List({Entry(1)}, EndpointUpdateKind::kCached);
  for (int i = 0; i < 200; ++i) {
    rig.Tick(100);
    EXPECT_EQ(rig.Count<PollEndpoints>(), 0);
  }
}

TEST(Odd, AnEmptyListHoldsWhileThereIsTimeAndThenRefuses) {
  Rig rig;
  rig.List({});
  EXPECT_FALSE(rig.Ask(next_id++, 0, 10, 1000).has_value());
  EXPECT_EQ(rig.Count<RejectRequest>() + rig.Count<FailRequest>(), 0);
  double waited = 0;
  while (rig.Count<RejectRequest>() == 0 && waited < 2000) rig.Tick(5), waited += 5;
  EXPECT_EQ(rig.Count<RejectRequest>(), 1);
  EXPECT_LE(waited, 1000);
}

TEST(Odd, AHeldRequestGoesToTheFirstServerThatIsListed) {
  Rig rig;
  rig.List({});
  const RequestId id = next_id++;
  EXPECT_FALSE(rig.Ask(id, 2, 10, 1000).has_value());
  rig.now += 20;
  rig.List({Entry(9)}, EndpointUpdateKind::kIncremental);
  EXPECT_EQ(rig.SentTo(id), std::optional<BackendId>(9));
}

}  // namespace
}  // namespace copperpoint::testing
