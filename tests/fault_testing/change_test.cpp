// SPDX-License-Identifier: Apache-2.0
//
// Rolling changes of nine real processes under their supervisors, with faults on their links.
#include <gtest/gtest.h>
#include <sys/stat.h>

#include <string>

#include "support/run_program.h"

namespace copperpoint::fault_testing {
namespace {

using testing_support::Finished;
using testing_support::RunProgram;
using testing_support::TemporaryFolder;

Finished Play(const std::string& name, const std::string& more = "") {
  Finished finished;
  for (int tries = 0; tries < 3; ++tries) {
    finished = RunProgram(PROGRAM_PATH,
                          "fault-test run " + std::string(SOURCE_DIR) + "/lab/rig/" + name + ".toml" + more);
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
