// SPDX-License-Identifier: Apache-2.0
//
// Surge, retry storm and recovery, as derived from the counts of requests.
#include <gtest/gtest.h>

#include <vector>

#include "decision/overload_monitor.h"
#include "support/balancer_fixture.h"

namespace copperpoint {
namespace {

using copperpoint::testing::At;

// An overload state, ten counts a second, and its changes.
class OverloadMonitorAt10Hz {
 public:
  void For(double seconds, double arrived, double client_retries, double rejected) {
    for (int i = 0; i < static_cast<int>(seconds * 10 + 0.5); ++i) {
      now_ += 100;
      const OverloadCounts counts{arrived / 10, client_retries / 10, rejected / 10,
                                  (arrived - rejected) / 10};
      if (const auto next = state.Update(At(now_), Duration(100), counts)) changes.push_back(*next);
    }
  }
  OverloadMonitor state;
  std::vector<OverloadState> changes;

 private:
  double now_ = 0;
};

using enum OverloadState;

TEST(OverloadMonitor, SurgeOfNewRequestsIsNoStorm) {
  OverloadMonitorAt10Hz s;
  s.For(10, 200, 0, 0);
  s.For(10, 400, 20, 150);
  s.For(10, 200, 0, 0);
  EXPECT_EQ(s.changes, (std::vector{kSurge, kCalm}));
}

TEST(OverloadMonitor, StormIsFollowedByRecoveryBeforeCalm) {
  OverloadMonitorAt10Hz s;
  s.For(10, 200, 0, 0);
  s.For(10, 600, 300, 400);
  EXPECT_EQ(s.state.state(), kStorm);
  s.For(5, 200, 0, 0);
  EXPECT_EQ(s.state.state(), kRecovery);
  s.For(10, 200, 0, 0);
  EXPECT_EQ(s.changes.back(), kCalm);
  EXPECT_EQ(s.changes[s.changes.size() - 2], kRecovery);
}

TEST(OverloadMonitor, NoResponsesAtAllIsAStorm) {
  OverloadMonitorAt10Hz s;
  s.For(5, 200, 0, 200);
  EXPECT_EQ(s.state.state(), kStorm);
}

TEST(OverloadMonitor, LowOrBriefRetryRatesChangeNothing) {
  OverloadMonitorAt10Hz s;
  s.For(30, 200, 9, 9);
  for (int i = 0; i < 10; ++i) {
    s.For(0.1, 200, 60, 60);
    s.For(3, 200, 0, 0);
  }
  EXPECT_TRUE(s.changes.empty());
}

TEST(OverloadMonitor, DoesNotFlapWhileItsSignsComeAndGo) {
  OverloadMonitorAt10Hz s;
  s.For(5, 400, 0, 200);
  for (int i = 0; i < 20; ++i) {
    s.For(1, 400, 0, 200);
    s.For(1, 200, 0, 0);
  }
  EXPECT_EQ(s.changes, (std::vector{kSurge}));
}

TEST(OverloadMonitor, StormDuringRecoveryIsAStormAgain) {
  OverloadMonitorAt10Hz s;
  s.For(5, 600, 300, 400);
  s.For(5, 200, 0, 0);
  ASSERT_EQ(s.state.state(), kRecovery);
  s.For(3, 600, 300, 400);
  EXPECT_EQ(s.state.state(), kStorm);
}

}  // namespace
}  // namespace copperpoint
