// SPDX-License-Identifier: Apache-2.0
//
// Tests sweeps that are interrupted and resumed, errors in scenario files, and the simulate command with its
// charts.
#include "simulation/run/sweep.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "config/edit.h"
#include "lab_testing.h"
#include "simulation/report/plot.h"
#include "simulation/report/sweep_table.h"
#include "simulation/run/compare.h"
#include "support/run_program.h"

namespace copperpoint::simulation {
namespace {

using testing_support::Finished;
using testing_support::ReadFile;
using testing_support::RunProgram;
using testing_support::TemporaryFolder;

constexpr char kSmallScenario[] =
    "title = \"small\"\nlength_s = 1\n[load]\nrate = 50\n[fleet]\nbackends = 2\n[clients]\nretry = "
    "\"none\"\n";

SweepPlan SmallPlan() {
  SweepPlan plan;
  plan.scenario_file = "small.toml";
  plan.scenario_text = kSmallScenario;
  plan.varied = {ParseVariedKey("load.rate=20:60:20"), ParseVariedKey("clients.retry=none,fixed")};
  plan.policies = {"ours", "p2c"};
  plan.seeds = {1, 2};
  return plan;
}

TEST(VariedKey, RangesIncludeTheLastValueAndListsAreTakenVerbatim) {
  EXPECT_EQ(ParseVariedKey("a.b=0.1:0.3:0.1").values, (std::vector<std::string>{"0.1", "0.2", "0.3"}));
  EXPECT_EQ(ParseVariedKey("a.0.b=x,y").values, (std::vector<std::string>{"x", "y"}));
  for (const char* bad : {"", "a", "=1", "a=", "a=1:2:0", "a=2:1:1", "a=x:y:z", "a=0:1e9:1"})
    EXPECT_THROW(ParseVariedKey(bad), std::invalid_argument) << bad;
}

TEST(Edit, SetsKeysInTablesAndArraysAndCreatesTables) {
  const std::string text = config::SetKey("[[class]]\nname = \"a\"\n", "f", "class.0.work_ms", "5");
  EXPECT_NE(text.find("work_ms = 5"), std::string::npos) << text;
  EXPECT_NE(config::SetKey("", "f", "load.shape", "daily").find("shape = 'daily'"), std::string::npos);
  for (const char* bad : {"class.1.name", "class.x.name", "class", "title.deeper", ""}) {
    if (std::string(bad) == "class") continue;  // a complete table may be set; the schema validates it
    EXPECT_THROW(config::SetKey("title = \"t\"\n[[class]]\n", "f", bad, "1"), std::invalid_argument) << bad;
  }
  EXPECT_THROW(config::SetKey("a = = 1", "f", "b", "1"), config::InvalidFile);
}

TEST(Sweep, ResumesAndRepeatsRunsWhoseFilesAreMissingOrCorrupted) {
  const TemporaryFolder folder;
  const std::string out = folder / "sweep";
  const SweepPlan plan = SmallPlan();
  SweepReport report = Sweep(plan, out, 2, {});
  EXPECT_EQ(report.points, 3u * 2 * 2 * 2);
  EXPECT_EQ(report.reused, 0u);
  const std::string complete = ReadFile(out + "/point-0000005.json");
  std::filesystem::remove(out + "/point-0000003.json");
  std::ofstream(out + "/point-0000005.json") << complete.substr(0, complete.size() / 2);
  std::string altered = ReadFile(out + "/point-0000007.json");
  altered[altered.find("goodput\":") + 11] ^= 1;
  std::ofstream(out + "/point-0000007.json") << altered;
  EXPECT_THROW(ReadSweep(out), std::runtime_error);
  std::size_t ran = 0;
  report = Sweep(plan, out, 2, [&](std::size_t, std::size_t) { ++ran; });
  EXPECT_EQ(ran, 3u);
  EXPECT_EQ(report.reused, 21u);
  EXPECT_EQ(report.corrupted, 2u);
  EXPECT_EQ(ReadFile(out + "/point-0000005.json"), complete) << "the repeated run must write the same bytes";
  EXPECT_EQ(ReadSweep(out).size(), 24u);
}

TEST(Sweep, TableHasTheMeanOfTheSeedsAndTheShareOfTheOracle) {
  std::vector<nlohmann::ordered_json> results;
  for (const auto& [policy, goodput] : std::initializer_list<std::pair<const char*, double>>{
           {"ours", 0.5}, {"ours", 0.7}, {"oracle", 0.8}, {"oracle", 0.8}}) {
    results.push_back(
        {{"values", {{"load.rate", "5"}}}, {"policy", policy}, {"result", {{"goodput", goodput}}}});
  }
  const std::string table = SweepTable(results);
  for (const char* part : {"load.rate=5", "0.6000", "0.8000", "0.7500"})
    EXPECT_NE(table.find(part), std::string::npos) << table;
  results.resize(2);
  EXPECT_EQ(SweepTable(results).find("oracle"), std::string::npos);
}

TEST(Sweep, FolderOfAnotherSweepIsRejected) {
  const TemporaryFolder folder;
  SweepPlan plan = SmallPlan();
  plan.varied.resize(1);
  Sweep(plan, folder / "sweep", 1, {});
  plan.seeds = {3};
  EXPECT_THROW(Sweep(plan, folder / "sweep", 1, {}), std::invalid_argument);
}

TEST(Sweep, InvalidScenarioOfAPointIsReportedBeforeTheFirstRun) {
  const TemporaryFolder folder;
  SweepPlan plan = SmallPlan();
  plan.varied = {ParseVariedKey("fleet.backends=1,many")};
  EXPECT_THROW(Sweep(plan, folder / "sweep", 1, {}), config::InvalidFile);
  EXPECT_FALSE(std::filesystem::exists(folder / "sweep"));
}

TEST(Scenario, AllErrorsOfAFileAreReportedTogether) {
  try {
    config::LoadText<Scenario>(
        "length_s = -1\n[load]\nshape = \"odd\"\n[[trouble]]\nkind = \"rain\"\n[[class]]\naim_ms = "
        "100\ndeadline_ms = 50\n[fleet]\nbackend = 3\n",
        "s.toml");
    FAIL();
  } catch (const config::InvalidFile& error) {
    const std::string what = error.what();
    for (const char* part : {"s.toml:1:12: length_s: -1 is out of range",
                             "s.toml:3:9: load.shape: 'odd' is none of steady, bursty, daily",
                             "s.toml:5:8: trouble[0].kind: 'rain' is none of",
                             "class[0].deadline_ms: 50 is less than aim_ms, which is 100",
                             "s.toml:10:1: fleet.backend: unknown key"})
      EXPECT_NE(what.find(part), std::string::npos) << part << "\nin\n" << what;
  }
}

TEST(Scenario, ErrorOfAnUnknownPolicyListsTheKnownOnes) {
  RunOptions options;
  options.policy = "p3c";
  try {
    simulation::Run(MinimalScenario(), options);
    FAIL();
  } catch (const std::invalid_argument& error) {
    EXPECT_NE(std::string(error.what()).find("prequal"), std::string::npos);
  }
}

// ---- the simulate command ------------------------------------------------------------------------------

TEST(LabCommand, ComparesAndPlots) {
  const TemporaryFolder folder;
  const std::string scenario = folder.Write("small.toml", kSmallScenario);
  const Finished compared =
      RunProgram(PROGRAM_PATH, "simulate compare " + scenario + " --json " + (folder / "out.json"));
  EXPECT_EQ(compared.code, 0) << compared.err;
  for (const char* policy : {"ours", "oracle", "prequal+budget"})
    EXPECT_NE(compared.out.find(policy), std::string::npos);
  const Finished again = RunProgram(
      PROGRAM_PATH, "simulate compare " + scenario + " --threads 1 --json " + (folder / "again.json"));
  EXPECT_EQ(ReadFile(folder / "out.json"), ReadFile(folder / "again.json"));
  const Finished plotted =
      RunProgram(PROGRAM_PATH, "simulate plot " + (folder / "out.json") + " --out " + (folder / "plots"));
  ASSERT_EQ(plotted.code, 0) << plotted.err;
  const std::string page = ReadFile(folder / "plots" + "/report.html");
  EXPECT_NE(page.find("<svg"), std::string::npos);
  EXPECT_EQ(page.find("<img"), std::string::npos) << "the page must not refer to other files";
}

TEST(LabCommand, SweepsAndPlots) {
  const TemporaryFolder folder;
  const std::string scenario = folder.Write("small.toml", kSmallScenario);
  const std::string arguments = "simulate sweep " + scenario +
                                " --vary load.rate=20:40:10 --policies ours,p2c --out " + (folder / "sweep");
  EXPECT_EQ(RunProgram(PROGRAM_PATH, arguments).code, 0);
  EXPECT_NE(RunProgram(PROGRAM_PATH, arguments).out.find("6 points, 6 reused from before"),
            std::string::npos);
  const Finished plotted = RunProgram(PROGRAM_PATH, "simulate plot " + (folder / "sweep"));
  EXPECT_EQ(plotted.code, 0) << plotted.err;
  EXPECT_TRUE(std::filesystem::exists(folder / "sweep" + "/sweep-p99_ms.svg"));
}

TEST(LabCommand, InvalidInputExitsWith2AndTheErrorNamesTheFile) {
  const TemporaryFolder folder;
  const std::string bad = folder.Write("bad.toml", "length_s = 0\n");
  const Finished run = RunProgram(PROGRAM_PATH, "simulate run " + bad);
  EXPECT_EQ(run.code, 2);
  EXPECT_EQ(run.err, "copperpoint: " + bad + ":1:12: length_s: 0 is out of range: 0.01 to 86400 s\n");
  const std::string good = folder.Write("good.toml", kSmallScenario);
  EXPECT_EQ(RunProgram(PROGRAM_PATH, "simulate run " + good + " --policy none").code, 2);
  EXPECT_EQ(RunProgram(PROGRAM_PATH, "simulate run " + good + " --set fleet.backends=x").code, 2);
  EXPECT_EQ(RunProgram(PROGRAM_PATH, "simulate run " + good + " --set class.3.share=1").code, 2);
  EXPECT_EQ(RunProgram(PROGRAM_PATH, "simulate plot " + good).code, 2);
  EXPECT_EQ(RunProgram(PROGRAM_PATH, "simulate run " + good + " --set fleet.backends=1").code, 0);
}

TEST(LabCommand, ReferencePageHasEveryKey) {
  const std::string page = ReadFile(std::string(SOURCE_DIR) + "/docs/scenarios.md");
  EXPECT_NE(page.find(ScenarioReference()), std::string::npos)
      << "to update the page: copperpoint simulate reference > docs/scenarios.md";
}

}  // namespace
}  // namespace copperpoint::simulation
