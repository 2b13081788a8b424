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

Finished PlayFile(const std::string& file, const std::string& more = "") {
  Finished finished;
  for (int tries = 0; tries < 3; ++tries) {
    finished = RunProgram(PROGRAM_PATH, "fault-test run " + file + more);
    if (finished.code != 3) break;  // 3: the rig's own timers were late, so that the run proves nothing
  }
  return finished;
}

Finished Play(const std::string& name, const std::string& more = "") {
  return PlayFile(std::string(SOURCE_DIR) + "/lab/rig/" + name + ".toml", more);
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

// The operator's call comes before the member's process has been started: it is repeated until the member
// listens, whose response then counts.
TEST(Change, RefusedCallIsRepeatedUntilTheMemberResponds) {
  const TemporaryFolder folder;
  const std::string file = folder.Write("early.toml", R"(
members = 1
length_s = 4
keep = true
[[fault]]
kind = "change"
at_s = 0
who = ["p1"]
file = "nine.toml"
[[property]]
kind = "never_removed"
)");
  folder.Write("nine.toml", testing_support::ReadFile(std::string(SOURCE_DIR) + "/lab/rig/plans/nine.toml"));
  const Finished finished = PlayFile(file);
  EXPECT_EQ(finished.code, 1) << finished.out << finished.err;
  EXPECT_EQ(finished.out.find("Connection refused"), std::string::npos) << finished.out;
  EXPECT_NE(finished.out.find("this member knows no other one"), std::string::npos) << finished.out;
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
