// SPDX-License-Identifier: Apache-2.0
//
// Rolling changes of nine real processes under their supervisors, with faults on their links; and the
// supervisor's logic.
#include <gtest/gtest.h>
#include <sys/stat.h>

#include <string>

#include "supervisor/supervisor.h"
#include "support/run_program.h"

namespace copperpoint::fault_testing {
namespace {

using testing_support::Finished;
using testing_support::RunProgram;
using testing_support::TemporaryFolder;

Finished Play(const std::string& name, const std::string& more = "") {
  Finished finished;
  for (int tries = 0; tries < 3; ++tries) {
    finished =
        RunProgram(PROGRAM_PATH, "rig run " + std::string(SOURCE_DIR) + "/lab/rig/" + name + ".toml" + more);
    if (finished.code != 3) break;  // the rig was late: the run says nothing
  }
  return finished;
}

TEST(Change, AGoodOneReachesAllAndNoRequestIsLost) {
  const Finished finished = Play("change");
  EXPECT_EQ(finished.code, 0) << finished.out << finished.err;
}

TEST(Change, OneWhoseProgramDoesNotStartIsTakenBack) {
  const Finished finished = Play("change_bad", " --other /bin/false");
  EXPECT_EQ(finished.code, 0) << finished.out << finished.err;
}

TEST(Change, OneWhoseFileIsRefusedIsTakenBack) {
  const TemporaryFolder folder;
  const Finished finished =
      Play("change_bad", " --other-settings " + folder.Write("bad.toml", "[patience]\nnonsense = 1\n"));
  EXPECT_EQ(finished.code, 0) << finished.out << finished.err;
}

TEST(Change, OneThatEndsByItselfIsTakenBack) {
  const TemporaryFolder folder;
  const std::string program = folder.Write(
      "ends", std::string("#!/bin/sh\n(sleep 2; kill -9 $$) &\nexec ") + PROGRAM_PATH + " \"$@\"\n");
  ::chmod(program.c_str(), 0755);
  const Finished finished = Play("change_bad", " --other " + program);
  EXPECT_EQ(finished.code, 0) << finished.out << finished.err;
}

TEST(Change, OneThatFailsEveryFourthRequestIsSeenAndTakenBack) {
  const Finished finished = Play("change_bad", std::string(" --other ") + HARMFUL_PATH);
  EXPECT_EQ(finished.code, 0) << finished.out << finished.err;
}

TEST(Change, ALeaderThatEndsOrStandsStillIsFollowedByAnother) {
  const Finished finished = Play("change_leader");
  EXPECT_EQ(finished.code, 0) << finished.out << finished.err;
}

TEST(Change, AZoneThatIsCutOffMeanwhileComesBackToOneVersion) {
  const Finished finished = Play("change_split");
  EXPECT_EQ(finished.code, 0) << finished.out << finished.err;
}

}  // namespace
}  // namespace copperpoint::fault_testing

namespace copperpoint::supervisor {
namespace {

struct Play {
  Play() : supervisor({}, "v1") {
    supervisor.OnStart(now);
    Take();
    supervisor.OnReady(now, 1);
    Take();
  }
  void Take() {
    auto output = supervisor.TakeOutput();
    for (const auto& begin : output.starts) began.push_back(begin.version);
    for (const auto& end : output.stops) ended.push_back(end.process);
    over |= output.finished;
  }
  void Pass(int ms) {
    now += Time(ms);
    supervisor.OnTick(now);
    Take();
  }
  Supervisor supervisor;
  Time now{1000};
  std::vector<std::string> began;
  std::vector<int> ended;
  bool over = false;
};

TEST(Supervisor, AnotherVersionServesBeforeTheOneBeforeEnds) {
  Play play;
  play.supervisor.OnVersionRequested(play.now, 1, "v2");
  play.Take();
  EXPECT_EQ(play.began, (std::vector<std::string>{"v1", "v2"}));
  EXPECT_TRUE(play.ended.empty());
  play.supervisor.OnReady(play.now, 2);
  play.Take();
  EXPECT_EQ(play.ended, (std::vector<int>{1}));
  EXPECT_EQ(play.supervisor.version(), "v2");
}

TEST(Supervisor, AVersionThatHearsNoFleetIsTakenBackWithoutAnybodysHelp) {
  Play play;
  play.supervisor.OnVersionRequested(play.now, 1, "v2");
  play.supervisor.OnReady(play.now, 2);
  play.supervisor.OnExited(play.now, 1, true);
  play.Pass(21000);
  EXPECT_EQ(play.began.back(), "v1");
  EXPECT_EQ(play.supervisor.failed_version(), "v2");
  play.supervisor.OnReady(play.now, 3);
  play.Take();
  EXPECT_EQ(play.supervisor.version(), "v1");
  // What was gone back to is on no trial.
  play.Pass(60000);
  EXPECT_EQ(play.began.size(), 3u);
}

TEST(Supervisor, OneThatEndsAgainAndAgainIsBegunMoreAndMoreSeldomAndThenGivenUp) {
  Play play;
  int process = 1;
  for (int i = 0; i < 4; ++i) {
    play.supervisor.OnExited(play.now, process, false);
    play.Take();
    play.Pass((200 << i) - 50);
    EXPECT_EQ(play.began.size(), static_cast<std::size_t>(process)) << i;
    play.Pass(60);
    EXPECT_EQ(play.began.size(), static_cast<std::size_t>(++process)) << i;
    play.supervisor.OnReady(play.now, process);
    play.Take();
  }
  play.supervisor.OnExited(play.now, process, false);
  play.Take();
  EXPECT_TRUE(play.over);
}

TEST(Supervisor, ASignalEndsAllAndTheSupervisor) {
  Play play;
  play.supervisor.OnStopRequested();
  play.Take();
  EXPECT_EQ(play.ended, (std::vector<int>{1}));
  EXPECT_FALSE(play.over);
  play.supervisor.OnExited(play.now, 1, true);
  play.Take();
  EXPECT_TRUE(play.over);
}

}  // namespace
}  // namespace copperpoint::supervisor
