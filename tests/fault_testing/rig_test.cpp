// SPDX-License-Identifier: Apache-2.0
//
// The plans in lab/rig, in virtual time over several seeds and with real processes; and plans that must fail,
// which show that the rig detects violations.
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

TEST(Virtual, SameSeedGivesByteIdenticalResult) {
  const Plan plan = ReadPlan(File("loss"));
  VirtualOptions options;
  options.seed = 5;
  const std::string once = PlayVirtual(plan, options).json.dump();
  EXPECT_EQ(PlayVirtual(plan, options).json.dump(), once);
  options.seed = 6;
  EXPECT_NE(PlayVirtual(plan, options).json.dump(), once);
}

// Without the suspicion phase, a member that pauses for less than the contact timeout is declared dead.
TEST(Virtual, WithoutSuspicionRunningMembersAreRemoved) {
  const Plan plan = ReadPlan(File("pause"));
  VirtualOptions options;
  options.membership_options.with_suspicion = false;
  const Outcome outcome = PlayVirtual(plan, options);
  EXPECT_FALSE(outcome.holds);
}

// The plan `starved` with fewer members and a shorter length.
Plan SmallStarved() {
  Plan plan = ReadPlan(File("starved"));
  plan.members = 24;
  plan.length_s = 25;
  plan.faults[0].for_s = 15;
  return plan;
}

// A member that resumes after a pause may process its timers before the datagrams that arrived meanwhile.
// With `with_delayed_wakeups` the local clock does not advance during the pause. Without it, the member
// declares running members dead.
TEST(Virtual, WithoutLocalClockAResumedMemberRemovesRunningMembers) {
  const Plan plan = SmallStarved();
  VirtualOptions options;
  int failed_runs = 0;
  for (options.seed = 1; options.seed <= 10; ++options.seed) {
    options.membership_options.with_delayed_wakeups = true;
    EXPECT_TRUE(PlayVirtual(plan, options).holds) << options.seed;
    options.membership_options.with_delayed_wakeups = false;
    failed_runs += !PlayVirtual(plan, options).holds;
  }
  EXPECT_GE(failed_runs, 1);
}

TEST(Virtual, WithoutIndirectProbesSuspicionsMoreThanDouble) {
  const Plan plan = SmallStarved();
  VirtualOptions options;
  const int with = PlayVirtual(plan, options).json["suspicions"];
  options.membership_options.with_indirect_probes = false;
  const int without = PlayVirtual(plan, options).json["suspicions"];
  EXPECT_GT(without, 2 * with);
}

TEST(Virtual, WithoutAntiEntropyPartitionedHalvesDoNotAgree) {
  VirtualOptions options;
  options.membership_options.with_anti_entropy = false;
  EXPECT_FALSE(PlayVirtual(ReadPlan(File("split")), options).holds);
}

TEST(Plan, InvalidFilesAreReportedWithLineAndKey) {
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

// Repeats a run in which the rig's own timers were late (exit code 3), since its result is void.
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
                                           "rolling_restart", "subsets", "service", "release", "reload",
                                           "half_done", "thin_links", "restart_most"));

// A rolling upgrade to a program with a newer message format, which adds a field, and back: members of both
// formats must understand each other, whichever is replaced first.
TEST(Rig, OldAndNewFormatsInteroperate) {
  const TemporaryFolder folder;
  const Finished finished =
      RunFile(File("replace") + " --other " + NEXT_PATH + " --logs " + (folder / "logs") + " --seed 2");
  EXPECT_EQ(finished.code, 0) << finished.out << finished.err;
  EXPECT_EQ(testing_support::ReadFile(folder / "logs/p12.log").find("fleet_too_new"), std::string::npos);
}

// Uses the program whose clock the rig can move: a jump must not make a member declare others dead.
TEST(Rig, ClockJumpsRemoveNoMember) {
  const TemporaryFolder folder;
  const Finished finished =
      RunFile(File("jump") + " --other " + NEXT_PATH + " --logs " + (folder / "logs") + " --seed 1");
  EXPECT_EQ(finished.code, 0) << finished.out << finished.err;
}

// If the condition of a fault never occurs, the fault is not injected. The run must fail, since it did not
// test that fault.
TEST(Rig, FaultWhoseConditionNeverOccursFailsTheRun) {
  const TemporaryFolder folder;
  const std::string file = folder.Write(
      "f.toml",
      "members = 3\nlength_s = 4\n[[fault]]\nkind = \"kill\"\nwhen = \"fleet_dead:p3\"\nat_s = 0\n"
      "who = [\"p1\"]\n[[property]]\nkind = \"never_removed\"\n");
  const Finished finished = RunFile(file + " --virtual");
  EXPECT_EQ(finished.code, 1) << finished.out;
  EXPECT_NE(finished.out.find("fleet_dead:p3"), std::string::npos) << finished.out;
}

// Proxies that are cut off from discovery keep sending to a draining backend. This is no violation of the
// service rules, since they cannot know of the drain, but the traffic share of the backend must still be
// measured.
TEST(Rig, DrainUnknownToTheProxiesViolatesNoServiceRule) {
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

// Each of these service faults must lower the served share below the bound.
TEST(Rig, FrozenFailingOrCutOffBackendsFailTheServedShare) {
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

TEST(Rig, DemoPrintsExampleCallsAndEndsByItself) {
  const Finished finished = RunProgram(PROGRAM_PATH, "demo --seconds 6");
  EXPECT_EQ(finished.code, 0) << finished.err;
  EXPECT_NE(finished.out.find("curl -X POST http://127."), std::string::npos) << finished.out;
  EXPECT_NE(finished.out.find("each sees 3 3 3, 1 view"), std::string::npos) << finished.out;
}

TEST(Rig, FailedPropertyIsReportedWithAReplayCommand) {
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

TEST(Rig, ProcessesWithoutMembershipDoNotAgree) {
  const Finished finished = RunFile(File("crash") + " --alone");
  EXPECT_EQ(finished.code, 1) << finished.out;
}

TEST(Serve, KeyFileReadableByOthersIsRejected) {
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
