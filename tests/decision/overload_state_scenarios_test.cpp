// SPDX-License-Identifier: Apache-2.0
//
// Surge, storm and recovery, as a proxy tells them from its counts.
#include <gtest/gtest.h>

#include <vector>

#include "decision/overload_monitor.h"
#include "support/balancer_fixture.h"

namespace copperpoint {
namespace {

using copperpoint::testing::At;

// Feeds a state with rates a second, and notes what it became, and when.
class Judged10Hz {
 public:
  void For(double seconds, double arrived, double repeats, double refused) {
    for (int i = 0; i < static_cast<int>(seconds * 10 + 0.5); ++i) {
      now_ += 100;
      const OverloadCounts counts{arrived / 10, repeats / 10, refused / 10, (arrived - refused) / 10};
      if (const auto next = state.Update(At(now_), Duration(100), counts)) changes.push_back(*next);
    }
  }
  OverloadMonitor state;
  std::vector<OverloadState> changes;

 private:
  double now_ = 0;
};

using enum OverloadState;

TEST(OverloadMonitor, ASurgeOfRealDemandIsNoStorm) {
  Judged10Hz s;
  s.For(10, 200, 0, 0);
  s.For(10, 400, 20, 150);
  s.For(10, 200, 0, 0);
  EXPECT_EQ(s.changes, (std::vector{kSurge, kCalm}));
}

TEST(OverloadMonitor, AStormIsFollowedByRecoveryBeforeCalm) {
  Judged10Hz s;
  s.For(10, 200, 0, 0);
  s.For(10, 600, 300, 400);
  EXPECT_EQ(s.state.state(), kStorm);
  s.For(5, 200, 0, 0);
  EXPECT_EQ(s.state.state(), kRecovery);
  s.For(10, 200, 0, 0);
  EXPECT_EQ(s.changes.back(), kCalm);
  EXPECT_EQ(s.changes[s.changes.size() - 2], kRecovery);
}

TEST(OverloadMonitor, WhereNobodyIsAnsweredItIsAStormWhoeverAsks) {
  Judged10Hz s;
  s.For(5, 200, 0, 200);
  EXPECT_EQ(s.state.state(), kStorm);
}

TEST(OverloadMonitor, ATrickleUnderTheFloorAndASpellShorterThanItsSignsChangeNothing) {
  Judged10Hz s;
  s.For(30, 200, 9, 9);
  for (int i = 0; i < 10; ++i) {
    s.For(0.1, 200, 60, 60);
    s.For(3, 200, 0, 0);
  }
  EXPECT_TRUE(s.changes.empty());
}

TEST(OverloadMonitor, DoesNotFlapWhileItsSignsComeAndGo) {
  Judged10Hz s;
  s.For(5, 400, 0, 200);
  for (int i = 0; i < 20; ++i) {
    s.For(1, 400, 0, 200);
    s.For(1, 200, 0, 0);
  }
  EXPECT_EQ(s.changes, (std::vector{kSurge}));
}

TEST(OverloadMonitor, AStormThatReturnsInTheRecoveryIsAStormAgain) {
  Judged10Hz s;
  s.For(5, 600, 300, 400);
  s.For(5, 200, 0, 0);
  ASSERT_EQ(s.state.state(), kRecovery);
  s.For(3, 600, 300, 400);
  EXPECT_EQ(s.state.state(), kStorm);
}

}  // namespace
}  // namespace copperpoint
