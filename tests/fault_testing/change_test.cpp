// SPDX-License-Identifier: Apache-2.0
//
// Rollouts on nine real proxies under their supervisors: a good version reaches all members, a bad one is
// rolled back, and crashes, pauses and partitions of members do not leave the fleet on two versions.
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
    if (finished.code != 3) break;  // 3: the rig's own timers were late, so that the run proves nothing
  }
  return finished;
}

TEST(Change, GoodVersionReachesAllMembersAndNoRequestIsLost) {
  const Finished finished = Play("change");
  EXPECT_EQ(finished.code, 0) << finished.out << finished.err;
}

TEST(Change, VersionThatDoesNotStartIsRolledBack) {
  const Finished finished = Play("change_bad", " --other /bin/false");
  EXPECT_EQ(finished.code, 0) << finished.out << finished.err;
}

TEST(Change, VersionWithInvalidSettingsIsRolledBack) {
  const TemporaryFolder folder;
  const Finished finished =
      Play("change_bad", " --other-settings " + folder.Write("bad.toml", "[patience]\nnonsense = 1\n"));
  EXPECT_EQ(finished.code, 0) << finished.out << finished.err;
}

TEST(Change, VersionThatCrashesIsRolledBack) {
  const TemporaryFolder folder;
  const std::string program = folder.Write(
      "ends", std::string("#!/bin/sh\n(sleep 2; kill -9 $$) &\nexec ") + PROGRAM_PATH + " \"$@\"\n");
  ::chmod(program.c_str(), 0755);
  const Finished finished = Play("change_bad", " --other " + program);
  EXPECT_EQ(finished.code, 0) << finished.out << finished.err;
}

TEST(Change, VersionThatFailsOneRequestInFourIsRolledBack) {
  const Finished finished = Play("change_bad", std::string(" --other ") + HARMFUL_PATH);
  EXPECT_EQ(finished.code, 0) << finished.out << finished.err;
}

TEST(Change, RolloutCompletesAfterItsLeaderCrashesOrPauses) {
  const Finished finished = Play("change_leader");
  EXPECT_EQ(finished.code, 0) << finished.out << finished.err;
}

TEST(Change, FleetRunsOneVersionAfterAPartitionedZoneReturns) {
  const Finished finished = Play("change_split");
  EXPECT_EQ(finished.code, 0) << finished.out << finished.err;
}

}  // namespace
}  // namespace copperpoint::fault_testing
