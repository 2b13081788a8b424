// SPDX-License-Identifier: Apache-2.0
//
// Rolling changes of nine real processes under their keepers, with faults on their links; and the keeper's
// logic.
#include <gtest/gtest.h>
#include <sys/stat.h>

#include <string>

#include "supervisor/keeper.h"
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
        RunProgram(PROGRAM_PATH, "fault-test run " + std::string(SOURCE_DIR) + "/lab/rig/" + name + ".toml" + more);
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
  Play() : keeper({}, "v1") {
    keeper.OnStart(now);
    Take();
    keeper.OnReady(now, 1);
    Take();
  }
  void Take() {
    auto output = keeper.Take();
    for (const auto& begin : output.begin) began.push_back(begin.version);
    for (const auto& end : output.end) ended.push_back(end.first);
    over |= output.over;
  }
  void Pass(int ms) {
    now += Time(ms);
    keeper.OnTick(now);
    Take();
  }
  Keeper keeper;
  Time now{1000};
  std::vector<std::string> began;
  std::vector<int> ended;
  bool over = false;
};

TEST(Keeper, AnotherVersionServesBeforeTheOneBeforeEnds) {
  Play play;
  play.keeper.OnWish(play.now, 1, "v2");
  play.Take();
  EXPECT_EQ(play.began, (std::vector<std::string>{"v1", "v2"}));
  EXPECT_TRUE(play.ended.empty());
  play.keeper.OnReady(play.now, 2);
  play.Take();
  EXPECT_EQ(play.ended, (std::vector<int>{1}));
  EXPECT_EQ(play.keeper.version(), "v2");
}

TEST(Keeper, AVersionThatHearsNoFleetIsTakenBackWithoutAnybodysHelp) {
  Play play;
  play.keeper.OnWish(play.now, 1, "v2");
  play.keeper.OnReady(play.now, 2);
  play.keeper.OnEnded(play.now, 1, true);
  play.Pass(21000);
  EXPECT_EQ(play.began.back(), "v1");
  EXPECT_EQ(play.keeper.failed_version(), "v2");
  play.keeper.OnReady(play.now, 3);
  play.Take();
  EXPECT_EQ(play.keeper.version(), "v1");
  // What was gone back to is on no trial.
  play.Pass(60000);
  EXPECT_EQ(play.began.size(), 3u);
}

TEST(Keeper, OneThatEndsAgainAndAgainIsBegunMoreAndMoreSeldomAndThenGivenUp) {
  Play play;
  int process = 1;
  for (int i = 0; i < 4; ++i) {
    play.keeper.OnEnded(play.now, process, false);
    play.Take();
    play.Pass((200 << i) - 50);
    EXPECT_EQ(play.began.size(), static_cast<std::size_t>(process)) << i;
    play.Pass(60);
    EXPECT_EQ(play.began.size(), static_cast<std::size_t>(++process)) << i;
    play.keeper.OnReady(play.now, process);
    play.Take();
  }
  play.keeper.OnEnded(play.now, process, false);
  play.Take();
  EXPECT_TRUE(play.over);
}

TEST(Keeper, ASignalEndsAllAndTheKeeper) {
  Play play;
  play.keeper.OnStop(play.now);
  play.Take();
  EXPECT_EQ(play.ended, (std::vector<int>{1}));
  EXPECT_FALSE(play.over);
  play.keeper.OnEnded(play.now, 1, true);
  play.Take();
  EXPECT_TRUE(play.over);
}

}  // namespace
}  // namespace copperpoint::supervisor
