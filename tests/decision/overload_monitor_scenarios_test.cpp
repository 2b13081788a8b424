// SPDX-License-Identifier: Apache-2.0
//
// How surge, retry storm and recovery are derived from the counts of requests.
#include <gtest/gtest.h>

#include <vector>

#include "decision/overload_monitor.h"
#include "support/balancer_fixture.h"

namespace copperpoint {
namespace {

using copperpoint::testing::At;

// An OverloadMonitor that is updated ten times per second, and its changes of state.
class OverloadMonitorAt10Hz {
 public:
  // Updates the monitor for `seconds`; the other parameters are requests per second.
  void RunFor(double seconds, double arrived, double client_retries, double rejected) {
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

TEST(OverloadMonitor, SurgeOfNewRequestsIsNotAStorm) {
  OverloadMonitorAt10Hz monitor;
  monitor.RunFor(10, 200, 0, 0);
  monitor.RunFor(10, 400, 20, 150);
  monitor.RunFor(10, 200, 0, 0);
  EXPECT_EQ(monitor.changes, (std::vector{kSurge, kCalm}));
}

TEST(OverloadMonitor, StormIsFollowedByRecoveryBeforeCalm) {
  OverloadMonitorAt10Hz monitor;
  monitor.RunFor(10, 200, 0, 0);
  monitor.RunFor(10, 600, 300, 400);
  EXPECT_EQ(monitor.state.state(), kStorm);
  monitor.RunFor(5, 200, 0, 0);
  EXPECT_EQ(monitor.state.state(), kRecovery);
  monitor.RunFor(10, 200, 0, 0);
  EXPECT_EQ(monitor.changes.back(), kCalm);
  EXPECT_EQ(monitor.changes[monitor.changes.size() - 2], kRecovery);
}

TEST(OverloadMonitor, NoResponsesAtAllIsAStorm) {
  OverloadMonitorAt10Hz monitor;
  monitor.RunFor(5, 200, 0, 200);
  EXPECT_EQ(monitor.state.state(), kStorm);
}

TEST(OverloadMonitor, LowOrBriefRetryRatesChangeNothing) {
  OverloadMonitorAt10Hz monitor;
  monitor.RunFor(30, 200, 9, 9);
  for (int i = 0; i < 10; ++i) {
    monitor.RunFor(0.1, 200, 60, 60);
    monitor.RunFor(3, 200, 0, 0);
  }
  EXPECT_TRUE(monitor.changes.empty());
}

TEST(OverloadMonitor, DoesNotFlapWhileOverloadComesAndGoes) {
  OverloadMonitorAt10Hz monitor;
  monitor.RunFor(5, 400, 0, 200);
  for (int i = 0; i < 20; ++i) {
    monitor.RunFor(1, 400, 0, 200);
    monitor.RunFor(1, 200, 0, 0);
  }
  EXPECT_EQ(monitor.changes, (std::vector{kSurge}));
}

TEST(OverloadMonitor, StormDuringRecoveryIsAStormAgain) {
  OverloadMonitorAt10Hz monitor;
  monitor.RunFor(5, 600, 300, 400);
  monitor.RunFor(5, 200, 0, 0);
  ASSERT_EQ(monitor.state.state(), kRecovery);
  monitor.RunFor(3, 600, 300, 400);
  EXPECT_EQ(monitor.state.state(), kStorm);
}

}  // namespace
}  // namespace copperpoint
