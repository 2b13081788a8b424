// SPDX-License-Identifier: Apache-2.0
#include "supervisor/supervisor.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <string>
#include <vector>

namespace copperpoint::supervisor {
namespace {

// A supervisor whose first process (1, of version v1) is ready, and its actions since its start.
struct SupervisorInVirtualTime {
  SupervisorInVirtualTime() {
    supervisor.OnStart(now);
    CarryOut();
    supervisor.OnReady(now, 1);
    CarryOut();
  }
  void CarryOut() {
    const Supervisor::Output output = supervisor.TakeOutput();
    for (const auto& start : output.starts) started.push_back(start.version);
    for (const auto& stop : output.stops) {
      stopped.push_back(stop.process);
      killed += stop.mode == Supervisor::StopMode::kKill;
    }
    for (const auto& notice : output.failure_notices) notified.push_back(notice.process);
    for (const Event& event : output.events) events.push_back(event.kind);
    finished |= output.finished;
    exit_status |= output.exit_status;
  }
  void Advance(int ms) {
    now += Time(ms);
    supervisor.OnTick(now);
    CarryOut();
  }

  Supervisor supervisor{{}, "v1"};
  Time now{1000};
  std::vector<std::string> started;
  std::vector<int> stopped, notified;
  std::vector<EventKind> events;
  int killed = 0, exit_status = 0;
  bool finished = false;
};

TEST(Supervisor, AnotherVersionIsReadyBeforeThePreviousOneStops) {
  SupervisorInVirtualTime test;
  test.supervisor.OnVersionRequested(test.now, 1, "v2");
  test.CarryOut();
  EXPECT_EQ(test.started, (std::vector<std::string>{"v1", "v2"}));
  EXPECT_TRUE(test.stopped.empty());
  test.supervisor.OnReady(test.now, 2);
  test.CarryOut();
  EXPECT_EQ(test.stopped, (std::vector<int>{1}));
  EXPECT_EQ(test.supervisor.version(), "v2");
}

TEST(Supervisor, VersionWithoutMembershipContactIsRolledBackOnce) {
  SupervisorInVirtualTime test;
  test.supervisor.OnVersionRequested(test.now, 1, "v2");
  test.supervisor.OnReady(test.now, 2);
  test.supervisor.OnExited(test.now, 1, true);
  test.Advance(21000);
  EXPECT_EQ(test.started.back(), "v1");
  EXPECT_EQ(test.supervisor.failed_version(), "v2");
  EXPECT_EQ(test.supervisor.failure(), "its process had no membership contact within 20000 ms (heard_ms)");
  test.supervisor.OnReady(test.now, 3);
  test.CarryOut();
  EXPECT_EQ(test.supervisor.version(), "v1");
  // The version that was rolled back to is not on probation.
  test.Advance(60000);
  EXPECT_EQ(test.started.size(), 3u);
}

TEST(Supervisor, ProcessThatExitsIsRestartedWithBackoffUntilTheLimit) {
  SupervisorInVirtualTime test;
  int process = 1;
  for (int i = 0; i < 4; ++i) {
    test.supervisor.OnExited(test.now, process, false);
    test.CarryOut();
    test.Advance((200 << i) - 50);
    EXPECT_EQ(test.started.size(), static_cast<std::size_t>(process)) << i;
    test.Advance(60);
    EXPECT_EQ(test.started.size(), static_cast<std::size_t>(++process)) << i;
    test.supervisor.OnReady(test.now, process);
    test.CarryOut();
  }
  test.supervisor.OnExited(test.now, process, false);
  test.CarryOut();
  EXPECT_TRUE(test.finished);
  EXPECT_EQ(test.exit_status, 1);
  EXPECT_EQ(test.events.back(), EventKind::kGaveUp);
}

TEST(Supervisor, StopRequestStopsAllProcessesAndFinishes) {
  SupervisorInVirtualTime test;
  test.supervisor.OnStopRequested();
  test.CarryOut();
  EXPECT_EQ(test.stopped, (std::vector<int>{1}));
  EXPECT_FALSE(test.finished);
  test.supervisor.OnExited(test.now, 1, true);
  test.CarryOut();
  EXPECT_TRUE(test.finished);
  EXPECT_EQ(test.exit_status, 0);
}

TEST(Supervisor, VersionWithMembershipContactIsNoLongerOnProbation) {
  SupervisorInVirtualTime test;
  test.supervisor.OnVersionRequested(test.now, 1, "v2");
  test.supervisor.OnReady(test.now, 2);
  test.supervisor.OnMembershipContact(2);
  test.Advance(60000);
  EXPECT_EQ(test.supervisor.failed_version(), "");
  EXPECT_EQ(test.started.size(), 2u);
}

TEST(Supervisor, SuccessorThatExitsIsReportedToTheServingProcess) {
  SupervisorInVirtualTime test;
  test.supervisor.OnVersionRequested(test.now, 1, "v2");
  test.supervisor.OnExited(test.now, 2, false);
  test.CarryOut();
  EXPECT_EQ(test.notified, (std::vector<int>{1}));
  EXPECT_EQ(test.supervisor.failed_version(), "v2");
  EXPECT_EQ(test.supervisor.failure(), "its process exited before it was ready");
  EXPECT_EQ(test.supervisor.version(), "v1");
}

TEST(Supervisor, SuccessorThatIsNotReadyInTimeIsKilled) {
  SupervisorInVirtualTime test;
  test.supervisor.OnVersionRequested(test.now, 1, "v2");
  test.CarryOut();
  EXPECT_EQ(test.supervisor.next_tick_at(), test.now + Time(15000));
  test.Advance(15000);
  EXPECT_EQ(test.stopped, (std::vector<int>{2}));
  EXPECT_EQ(test.killed, 1);
}

TEST(Supervisor, SuccessorReplacesAServingProcessThatExits) {
  SupervisorInVirtualTime test;
  test.supervisor.OnVersionRequested(test.now, 1, "v2");
  test.supervisor.OnExited(test.now, 1, false);
  test.CarryOut();
  EXPECT_EQ(test.supervisor.version(), "v2");
  EXPECT_EQ(test.started.size(), 2u);
}

TEST(Supervisor, NewVersionThatExitsTwiceIsRolledBack) {
  SupervisorInVirtualTime test;
  test.supervisor.OnVersionRequested(test.now, 1, "v2");
  test.supervisor.OnReady(test.now, 2);
  test.supervisor.OnExited(test.now, 1, true);
  test.supervisor.OnExited(test.now, 2, false);
  test.Advance(200);
  test.supervisor.OnReady(test.now, 3);
  test.supervisor.OnExited(test.now, 3, false);
  test.CarryOut();
  EXPECT_EQ(test.started, (std::vector<std::string>{"v1", "v2", "v2", "v1"}));
  EXPECT_EQ(test.supervisor.failure(), "its process exited 2 times in a row without membership contact");
}

TEST(Supervisor, StableProcessResetsTheBackoff) {
  SupervisorInVirtualTime test;
  test.supervisor.OnExited(test.now, 1, false);
  test.Advance(200);
  test.supervisor.OnReady(test.now, 2);
  test.now += Time(60001);
  test.supervisor.OnExited(test.now, 2, false);
  test.CarryOut();
  EXPECT_EQ(test.supervisor.next_tick_at(), test.now + Time(200));
}

TEST(Supervisor, RequestIsIgnoredFromAnyProcessButTheServingOneAndForItsOwnVersion) {
  SupervisorInVirtualTime test;
  test.supervisor.OnVersionRequested(test.now, 1, "v1");
  test.supervisor.OnVersionRequested(test.now, 9, "v2");
  test.CarryOut();
  EXPECT_EQ(test.started.size(), 1u);
  test.supervisor.OnVersionRequested(test.now, 1, "v2");
  test.supervisor.OnVersionRequested(test.now, 1, "v3");
  test.CarryOut();
  EXPECT_EQ(test.started.size(), 2u);
}

TEST(Supervisor, ProgressOfItsProcessesIsStored) {
  SupervisorInVirtualTime test;
  test.supervisor.OnProgress(1, 7);
  test.supervisor.OnProgress(9, 8);
  EXPECT_EQ(test.supervisor.progress(), 7u);
}

TEST(Supervisor, EventNamesAreThoseOfTheLog) {
  EXPECT_STREQ(NameOf(EventKind::kSuccessorStarted), "keep_begins");
  EXPECT_STREQ(NameOf(EventKind::kVersionServing), "keep_serves");
  EXPECT_STREQ(NameOf(EventKind::kVersionFailed), "keep_took_back");
  EXPECT_STREQ(NameOf(EventKind::kProcessExited), "keep_ended");
  EXPECT_STREQ(NameOf(EventKind::kGaveUp), "keep_gave_up");
}

}  // namespace
}  // namespace copperpoint::supervisor
