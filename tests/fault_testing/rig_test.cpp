// SPDX-License-Identifier: Apache-2.0
//
// The rig's files, in virtual time over seeds and with real processes; and that the rig itself can fail.
#include <gtest/gtest.h>
#include <sys/stat.h>

#include <fstream>
#include <nlohmann/json.hpp>

#include "config/read.h"
#include "fault_testing/plan.h"
#include "fault_testing/processes/service.h"
#include "fault_testing/virtual.h"
#include "support/run_program.h"

namespace copperpoint::fault_testing {
namespace {

using testing_support::Finished;
using testing_support::RunProgram;
using testing_support::TemporaryFolder;

std::string File(const std::string& name) { return std::string(SOURCE_DIR) + "/lab/rig/" + name + ".toml"; }

std::string Replay(const std::string& name, std::uint64_t seed, const Outcome& outcome) {
  std::string text =
      "copperpoint fault-test run lab/rig/" + name + ".toml --virtual --seed " + std::to_string(seed) + "\n";
  for (const std::string& line : outcome.failures) text += line + "\n";
  return text;
}

class Virtual : public ::testing::TestWithParam<const char*> {};

TEST_P(Virtual, HoldsOverSeeds) {
  const Plan plan = ReadPlan(File(GetParam()));
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    VirtualOptions options;
    options.seed = seed;
    const Outcome outcome = PlayVirtual(plan, options);
    EXPECT_TRUE(outcome.holds) << Replay(GetParam(), seed, outcome);
  }
}
INSTANTIATE_TEST_SUITE_P(Files, Virtual,
                         ::testing::Values("join", "crash", "pause", "one_way_cut", "split",
                                           "rolling_restart", "restart_faster", "loss", "islands", "subsets",
                                           "half_done", "jump", "thin_links", "restart_most"));

TEST(Virtual, TheSameSeedIsTheSameRunToTheByte) {
  const Plan plan = ReadPlan(File("loss"));
  VirtualOptions options;
  options.seed = 5;
  const std::string once = PlayVirtual(plan, options).json.dump();
  EXPECT_EQ(PlayVirtual(plan, options).json.dump(), once);
  options.seed = 6;
  EXPECT_NE(PlayVirtual(plan, options).json.dump(), once);
}

// Each part of the view switched off loses something that the files show.
TEST(Virtual, WithoutSuspicionTheLivingAreRemoved) {
  const Plan plan = ReadPlan(File("pause"));
  VirtualOptions options;
  options.membership_options.with_suspicion = false;
  const Outcome outcome = PlayVirtual(plan, options);
  EXPECT_FALSE(outcome.holds);
}

// As the file has it, with few members and for a short time.
Plan SmallStarved() {
  Plan plan = ReadPlan(File("starved"));
  plan.members = 24;
  plan.length_s = 25;
  plan.faults[0].for_s = 15;
  return plan;
}

// A loop that looks at its timers first after a stop judges others by what it has not read yet.
TEST(Virtual, WithoutItsOwnTimeAMemberThatStoodStillBuriesTheLiving) {
  const Plan plan = SmallStarved();
  VirtualOptions options;
  int lost = 0;
  for (options.seed = 1; options.seed <= 10; ++options.seed) {
    options.membership_options.with_delayed_wakeups = true;
    EXPECT_TRUE(PlayVirtual(plan, options).holds) << options.seed;
    options.membership_options.with_delayed_wakeups = false;
    lost += !PlayVirtual(plan, options).holds;
  }
  EXPECT_GE(lost, 1);
}

TEST(Virtual, WithoutHelpersThereAreSeveralTimesAsManySuspicions) {
  const Plan plan = SmallStarved();
  VirtualOptions options;
  const int with = PlayVirtual(plan, options).json["suspicions"];
  options.membership_options.with_indirect_probes = false;
  const int without = PlayVirtual(plan, options).json["suspicions"];
  EXPECT_GT(without, 2 * with);
}

TEST(Virtual, WithoutWholeComparisonsHalvesDoNotFindOneView) {
  VirtualOptions options;
  options.membership_options.with_anti_entropy = false;
  EXPECT_FALSE(PlayVirtual(ReadPlan(File("split")), options).holds);
}

TEST(Plan, FaultsOfAFileAreToldWithLineAndKey) {
  const auto read = [](const std::string& text) {
    try {
      config::LoadText<Plan>(text, "f.toml");
    } catch (const config::InvalidFile& error) {
      return std::string(error.what());
    }
    return std::string();
  };
  EXPECT_NE(read("members = 3\n").find("property"), std::string::npos);
  EXPECT_NE(read("members = 0\n[[property]]\nkind = \"never_removed\"\n").find("f.toml:1"),
            std::string::npos);
  EXPECT_NE(
      read("members = 3\n[[fault]]\nwho = [\"p9\"]\n[[property]]\nkind = \"never_removed\"\n").find("p9"),
      std::string::npos);
}

// ---- real processes -------------------------------------------------------------------------------------

// A run in which the rig was late says nothing, and is made again.
Finished RunFile(const std::string& arguments) {
  Finished finished;
  for (int tries = 0; tries < 3; ++tries) {
    finished = RunProgram(PROGRAM_PATH, "fault-test run " + arguments);
    if (finished.code != 3) break;
  }
  return finished;
}

class Processes : public ::testing::TestWithParam<const char*> {};

TEST_P(Processes, Hold) {
  const Finished finished = RunFile(File(GetParam()) + " --seed 1");
  EXPECT_EQ(finished.code, 0) << finished.out << finished.err;
}
INSTANTIATE_TEST_SUITE_P(Files, Processes,
                         ::testing::Values("join", "crash", "pause", "one_way_cut", "split",
                                           "rolling_restart", "subsets", "service", "release", "half_done",
                                           "thin_links", "restart_most"));

// The program with the format to come, which adds a field, beside this one, in both orders of replacement.
TEST(Rig, OldAndNewFormatsLiveSideBySide) {
  const TemporaryFolder folder;
  const Finished finished =
      RunFile(File("replace") + " --other " + NEXT_PATH + " --logs " + (folder / "logs") + " --seed 2");
  EXPECT_EQ(finished.code, 0) << finished.out << finished.err;
  EXPECT_EQ(testing_support::ReadWhole(folder / "logs/p12.log").find("fleet_too_new"), std::string::npos);
}

// The program with a clock that jumps where the rig says so.
TEST(Rig, ClocksThatJumpTakeNobodyDown) {
  const TemporaryFolder folder;
  const Finished finished =
      RunFile(File("jump") + " --other " + NEXT_PATH + " --logs " + (folder / "logs") + " --seed 1");
  EXPECT_EQ(finished.code, 0) << finished.out << finished.err;
}

// Without what it waits for, a fault never begins, and the run has not shown anything.
TEST(Rig, AFaultThatWaitsInVainIsAFailure) {
  const TemporaryFolder folder;
  const std::string file = folder.Write(
      "f.toml",
      "members = 3\nlength_s = 4\n[[fault]]\nkind = \"kill\"\nwhen = \"fleet_dead:p3\"\nat_s = 0\n"
      "who = [\"p1\"]\n[[property]]\nkind = \"never_removed\"\n");
  const Finished finished = RunFile(file + " --virtual");
  EXPECT_EQ(finished.code, 1) << finished.out;
  EXPECT_NE(finished.out.find("fleet_dead:p3"), std::string::npos) << finished.out;
}

// The rig's rules of service see what a proxy would do wrong: here the stand-ins are asked by nobody who
// knows better than to send to a backend that drains.
TEST(Rig, ADrainThatAProxyDoesNotHearOfIsNoFaultOfItsOwn) {
  const TemporaryFolder folder;
  const std::string text =
      "members = 3\nlength_s = 6\n[[fault]]\nkind = \"drain\"\nat_s = 2\nwho = [\"b1\"]\n"
      "[[fault]]\nkind = \"cut_service\"\nat_s = 1.5\nwho = [\"all\"]\nto = [\"discovery\"]\n"
      "[[property]]\nkind = \"served_at_least\"\nafter_s = 2\nbound = 0.9\n"
      "[[property]]\nkind = \"traffic_share\"\nafter_s = 3\nwho = [\"b1\"]\nbound = 0.01\n";
  const Finished finished = RunFile(folder.Write("f.toml", text));
  EXPECT_EQ(finished.code, 1) << finished.out << finished.err;
  EXPECT_NE(finished.out.find("traffic_share"), std::string::npos) << finished.out;
  EXPECT_EQ(finished.out.find("broken rule"), std::string::npos) << finished.out;
}

// Each fault on the service bites: without it the same plan holds.
TEST(Rig, BackendsThatFreezeOrAreCutOffServeNothing) {
  const TemporaryFolder folder;
  for (const std::string fault :
       {"kind = \"freeze\"\nwho = [\"backends\"]", "kind = \"fail\"\nwho = [\"backends\"]",
        "kind = \"cut_service\"\nwho = [\"all\"]\nto = [\"backends\"]"}) {
    const std::string file =
        folder.Write("f.toml",
                     "members = 3\nlength_s = 5\n[[property]]\nkind = \"served_at_least\"\n"
                     "after_s = 2.5\nbound = 0.9\n[[fault]]\nat_s = 2\n" +
                         fault + "\n");
    const Finished finished = RunFile(file);
    EXPECT_EQ(finished.code, 1) << fault << finished.out << finished.err;
    EXPECT_NE(finished.out.find("served_at_least"), std::string::npos) << finished.out;
  }
}

TEST(Rig, ADemoTellsWhatToTryAndEndsByItself) {
  const Finished finished = RunProgram(PROGRAM_PATH, "demo --seconds 6");
  EXPECT_EQ(finished.code, 0) << finished.err;
  EXPECT_NE(finished.out.find("curl -X POST http://127."), std::string::npos) << finished.out;
  EXPECT_NE(finished.out.find("each sees 3 3 3, 1 view"), std::string::npos) << finished.out;
}

TEST(Rig, WhatDoesNotHoldIsToldWithALineThatReplaysIt) {
  const TemporaryFolder folder;
  const std::string file = folder.Write("f.toml", R"(
members = 3
length_s = 4
[service]
rate = 20
[[fault]]
kind = "kill"
at_s = 2
who = ["p2"]
[[property]]
kind = "known_within"
bound = 0.1
)");
  const Finished finished = RunFile(file + " --seed 9");
  EXPECT_EQ(finished.code, 1) << finished.err;
  EXPECT_NE(finished.out.find("known_within: "), std::string::npos) << finished.out;
  EXPECT_NE(finished.out.find("--seed 9"), std::string::npos) << finished.out;
}

TEST(Rig, ProcessesThatKnowNothingOfEachOtherHaveNoOneView) {
  const Finished finished = RunFile(File("crash") + " --alone");
  EXPECT_EQ(finished.code, 1) << finished.out;
}

TEST(Serve, AKeyThatOthersMayReadIsRefused) {
  const TemporaryFolder folder;
  const std::string key = folder.Write("key", "a key of enough bytes");
  const std::string file = folder.Write(
      "o.toml", "[fleet]\ncluster = \"c\"\nlisten = \"127.0.0.1:1\"\nkey_file = \"" + key + "\"\n");
  const nlohmann::json json{{"name", "n"},
                            {"listen", "127.0.0.1:0"},
                            {"discovery", "127.0.0.1:1"},
                            {"seed", "1"},
                            {"settings", ProxySettings(Plan(), 0)}};
  const std::string config = folder.Write("c.json", json.dump());
  ::chmod(key.c_str(), 0644);
  const Finished finished =
      RunProgram("/usr/bin/env", "ROUTER_CONFIG='" + config + "' '" + std::string(PROGRAM_PATH) +
                                     "' serve --config '" + file + "'");
  EXPECT_EQ(finished.code, 2) << finished.err;
  EXPECT_NE(finished.err.find("0600"), std::string::npos) << finished.err;
}

}  // namespace
}  // namespace copperpoint::fault_testing
