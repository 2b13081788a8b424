// SPDX-License-Identifier: Apache-2.0
//
// What happens in the emulated world at its odd corners.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>

#include "lab_testing.h"
#include "simulation/run/compare.h"
#include "simulation/world/drawn_scenario.h"
#include "support/run_program.h"

namespace copperpoint::simulation {
namespace {

// An attempt of 10 ms work on a network of 1 ms each way is back after 12 ms on a connection that is open.
RunResult WithTimeout(double ms) {
  return RunScripted(
      Plain("[network]\nsame_zone_ms = 1\njitter = 0\n[[machine]]\ncores = 100\n"),
      [ms](Scripted& self, TimePoint, const Event& event, std::vector<Action>* actions) {
        if (const auto* submit = std::get_if<RequestReceived>(&event))
          actions->push_back(StartAttempt{submit->request, self.known.begin()->first, Duration(ms)});
        if (const auto* end = std::get_if<AttemptCompleted>(&event); end && !end->request_completed)
          actions->push_back(FailRequest{end->request});
      });
}

TEST(Ties, AnAnswerInTheMicrosecondOfItsTimeOutIsAnAnswer) {
  EXPECT_EQ(Count(WithTimeout(12), "timeouts"), 0);
  EXPECT_GT(Count(WithTimeout(12), "served"), 50);
  EXPECT_GT(Count(WithTimeout(11.999), "timeouts"), 50);
}

TEST(World, TheSameSeedGivesTheSameBytesAndAnotherSeedOthers) {
  const Scenario s = Plain(
      "[fleet]\nbackends = 5\nproxies = 2\n[clients]\nretry = \"exponential\"\n[[trouble]]\nkind = "
      "\"pauses\"\n");
  RunOptions options;
  const std::string first = simulation::Run(s, options).json.dump();
  EXPECT_EQ(simulation::Run(s, options).json.dump(), first);
  options.seed = 2;
  EXPECT_NE(simulation::Run(s, options).json.dump(), first);
}

TEST(World, ResultsDoNotDependOnTheNumberOfThreads) {
  const Scenario s = Plain(
      "length_s = 2\n[fleet]\nbackends = 5\nproxies = 2\n[[trouble]]\nkind = \"fast_errors\"\nsize = 0.5\n");
  const auto policies = AllPolicies();
  EXPECT_EQ(Compare(s, policies, 5, 1).json.dump(), Compare(s, policies, 5, 4).json.dump());
}

TEST(World, EveryPolicyMeetsTheSameWishes) {
  const Scenario s = Plain("[load]\nrate = 300\n[fleet]\nbackends = 3\n");
  std::int64_t wishes = -1;
  for (const std::string& policy : AllPolicies()) {
    RunOptions options;
    options.policy = policy;
    const RunResult result = simulation::Run(s, options);
    if (wishes < 0) wishes = Count(result, "first_tries");
    EXPECT_EQ(Count(result, "first_tries"), wishes) << policy;
  }
}

TEST(World, WithoutBackendsEveryRequestHasItsAnswer) {
  for (const char* policy : {"ours", "oracle", "p2c+3", "prequal"}) {
    RunOptions options;
    options.policy = policy;
    const RunResult result = RunWithTrace(Plain("[fleet]\nbackends = 0\n"), options);
    EXPECT_EQ(result.violations, 0) << policy;
    EXPECT_EQ(Count(result, "served"), 0) << policy;
    EXPECT_GT(Count(result, "refused"), 50) << policy;
  }
}

TEST(World, AKilledProxysClientsAskTheOthersAndWhatIsUnsafeIsNotRepeated) {
  const char* kill =
      "length_s = 8\n[load]\nrate = 100\n[fleet]\nbackends = 4\nproxies = 2\n[clients]\nretry = "
      "\"fixed\"\nbackoff_ms = 20\n"
      "retries = 3\nnotice_ms = 1000\n[[trouble]]\nkind = \"proxy_kill\"\nat_s = 2\nfor_s = 3\npart = 0.5\n";
  for (const char* cls :
       {"[[class]]\nsafe = true\nwork_ms = 30\n", "[[class]]\nsafe = false\nwork_ms = 30\n"}) {
    const RunResult result = RunWithTrace(Plain(std::string(kill) + cls), RunOptions{});
    EXPECT_EQ(result.violations, 0) << result.json["broken"].dump(1);
    EXPECT_GT(Count(result, "unreachable"), 10) << "the front has not noticed yet";
    EXPECT_GT(result.goodput, 0.95);
  }
}

TEST(World, AMachineThatComesBackResetsWhatWasSentToIt) {
  const RunResult result =
      RunScripted(Plain("length_s = 6\n[discovery]\nsilent_notice_ms = 100000\n[[class]]\nwork_ms = "
                        "10\ndeadline_ms = 5000\naim_ms = 500\n"
                        "[[trouble]]\nkind = \"vanish\"\nat_s = 2\nfor_s = 1\n"),
                  OneAttempt);
  EXPECT_GT(Count(result, "resets"), 0) << "on connections from before";
  EXPECT_GT(Count(result, "connect_failed"), 0) << "on new ones";
  EXPECT_EQ(result.violations, 0);
}

TEST(World, CancelledWorkStopsWhereTheMachineStopsIt) {
  const auto wasted = [](const char* cancelled) {
    return RunScripted(Plain("[load]\nrate = 60\n[[class]]\nwork_ms = 30\ndeadline_ms = 100\naim_ms = "
                             "100\n[[machine]]\n"
                             "cancelled = \"" +
                             std::string(cancelled) + "\"\n"),
                       OneAttempt)
        .json["wasted_work"]
        .get<double>();
  };
  EXPECT_GT(wasted("runs_on"), wasted("queued") + 0.1);
  EXPECT_LT(wasted("stops"), wasted("queued") + 0.05);
}

TEST(World, AConnectionTableThatIsFullTurnsNewOnesAway) {
  const RunResult result = RunScripted(
      Plain("[load]\nrate = 200\n[[machine]]\nconnections = 3\nqueue = 1000\n[[class]]\nwork_ms = 10\n"),
      OneAttempt);
  EXPECT_GT(Count(result, "connect_failed"), 100);
  EXPECT_EQ(Count(result, "connections"), 3);
}

TEST(World, ACutDelaysOneWayOnlyAndUntilItHeals) {
  // Answers from zone 1 are held up; requests to it are not: what is sent there runs all the same.
  const RunResult result = RunScripted(
      Plain("length_s = 4\n[fleet]\nbackends = 2\nproxies = 1\nzones = 2\n[[class]]\nwork_ms = "
            "1\ndeadline_ms = 500\naim_ms = 500\n"
            "[[trouble]]\nkind = \"cut\"\nat_s = 1\nfor_s = 2\nfrom_zone = 1\nto_zone = 0\n"),
      [](Scripted& self, TimePoint, const Event& event, std::vector<Action>* actions) {
        if (const auto* submit = std::get_if<RequestReceived>(&event)) {
          for (const auto& [id, entry] : self.known) {
            if (entry.zone == 1) return actions->push_back(StartAttempt{submit->request, id, Duration(0)});
          }
        }
        if (const auto* end = std::get_if<AttemptCompleted>(&event); end && !end->request_completed)
          actions->push_back(FailRequest{end->request});
      });
  EXPECT_NEAR(static_cast<double>(Count(result, "timeouts") + Count(result, "connect_failed")), 40, 25);
  EXPECT_GT(result.json["wasted_work"].get<double>(), 0.02);
}

TEST(World, ThreeTimesTheCapacityStaysBoundedInMemory) {
  const Scenario s = Plain(
      "length_s = 20\n[load]\nof_capacity = 3\n[fleet]\nbackends = 4\nproxies = 2\n[clients]\nretry = "
      "\"immediate\"\n"
      "retries = 3\n[[class]]\nwork_ms = 10\ndeadline_ms = 1000\naim_ms = 200\n");
  RunOptions options;
  const RunResult result = RunWithTrace(s, options);
  EXPECT_EQ(result.violations, 0);
  // At most: each first try's and its repeats' time, at the rate of the arrivals, twice over.
  EXPECT_LT(result.json["most_open"].get<double>(), 2 * 4 * s.Rate());
  EXPECT_GT(result.goodput, 0.15);
}

TEST(World, OverlappingTroublesPlayToTheirEnd) {
  const Scenario s = Plain(
      "length_s = 12\n[load]\nrate = 200\n[fleet]\nbackends = 6\nproxies = 2\nzones = 2\n[clients]\nretry = "
      "\"fixed\"\n"
      "[[trouble]]\nkind = \"vanish\"\nat_s = 1\nfor_s = 6\npart = 0.5\n[[trouble]]\nkind = \"pauses\"\nat_s "
      "= 1\npart = 1\nsize = 100\n"
      "[[trouble]]\nkind = \"release\"\nat_s = 2\nfor_s = 6\npart = 1\nsize = 2\n[[trouble]]\nkind = "
      "\"lost_zone\"\nat_s = 3\nfor_s = 2\n"
      "[[trouble]]\nkind = \"outage\"\nat_s = 5\nfor_s = 1\n[[trouble]]\nkind = \"proxy_kill\"\nat_s = "
      "4\nfor_s = 2\npart = 0.5\n"
      "[[trouble]]\nkind = \"discovery_down\"\nat_s = 3\nfor_s = 4\n");
  for (const char* ask : {"false", "true"}) {
    Scenario asked = s;
    asked.discovery.polled = std::string(ask) == "true";
    const RunResult result = RunWithTrace(asked, RunOptions{});
    EXPECT_EQ(result.violations, 0) << ask << result.json["broken"].dump(1);
    EXPECT_GT(Count(result, "served"), 300) << ask;
  }
}

TEST(World, APoisonousKeyCrashesWhatRunsIt) {
  const Scenario s = Plain(
      "length_s = 10\n[load]\nrate = 50\nkeys = 20\n[fleet]\nbackends = 6\n[discovery]\nnotice_ms = "
      "200\n[[trouble]]\n"
      "kind = \"poison\"\nat_s = 2\nfor_s = 2\n");
  const RunResult result = RunWithTrace(s, RunOptions{});
  EXPECT_EQ(result.violations, 0);
  EXPECT_GT(Count(result, "resets"), 0);
  EXPECT_GT(result.goodput, 0.5);
}

TEST(World, AReplayedFileIsPlayedAsItSays) {
  const testing_support::TemporaryFolder folder;
  Scenario s = Plain();
  s.load.replay = folder.Write(
      "arrivals.csv",
      "# at_ms,class,account,key,work_ms\n0,lookup,all,7,10\n15.5,lookup,all,0,20\n9999,lookup,all,0,1\n");
  const RunResult result = RunScripted(s, OneAttempt);
  EXPECT_EQ(Count(result, "first_tries"), 2) << "the third is after the end";
  EXPECT_NEAR(result.json["mean_ms"].get<double>(), 15, 1e-3);
}

TEST(World, ABadReplayNamesEachLine) {
  const testing_support::TemporaryFolder folder;
  Scenario s = Plain();
  s.load.replay =
      folder.Write("arrivals.csv",
                   "5,lookup,all,0,10\n1,lookup,all,0,10\n6,nothing,all,0,10\n7,lookup,all,x,10\n8,lookup\n");
  try {
    simulation::Run(s, RunOptions{});
    FAIL();
  } catch (const config::InvalidFile& error) {
    std::vector<int> lines;
    for (const auto& fault : error.diagnostics()) lines.push_back(fault.line);
    EXPECT_EQ(lines, (std::vector<int>{2, 3, 4, 5})) << error.what();
  }
}

TEST(World, ADayIsTheSameWhateverThePolicyAndNamesItsTargets) {
  const Scenario s =
      Plain("[fleet]\nbackends = 10\n[[trouble]]\npart = 0.3\n[[trouble]]\nkind = \"lost_zone\"\n");
  const DrawnScenario drawn = DrawScenario(s, 9);
  EXPECT_EQ(drawn.fault_targets[0].size(), 3u);
  EXPECT_EQ(drawn.fault_targets[1].size(), 10u);
  EXPECT_EQ(Json(s, drawn).dump(), Json(s, DrawScenario(s, 9)).dump());
}

TEST(World, TheModuleServesABackendWhoseIdIsUsedAgain) {
  // The same id comes back as another life, cold: over and over.
  const Scenario s = Plain(
      "length_s = 30\n[load]\nrate = 30\n[fleet]\nbackends = 2\n[discovery]\nnotice_ms = 100\nspread_ms = "
      "20\n[[machine]]\ncold_from = 0.3\n"
      "warm_up_s = 3\nfall_multiple = 3\n[[trouble]]\nkind = \"release\"\nat_s = 1\nfor_s = 12\npart = "
      "1\nsize = 1\n[[trouble]]\n"
      "kind = \"release\"\nat_s = 14\nfor_s = 12\npart = 1\nsize = 1\n");
  const RunResult result = RunWithTrace(s, RunOptions{});
  EXPECT_EQ(result.violations, 0) << result.json["broken"].dump(1);
  EXPECT_GT(result.goodput, 0.9);
}

// ---- what is lost between proxy and backend, and clients without patience ------------------------------

TEST(World, ALostAnswerEndsAsATimeOutThoughTheWorkWasDone) {
  const RunResult result =
      RunScripted(Plain("[[trouble]]\nkind = \"lost_answers\"\nat_s = 1\nfor_s = 2\nsize = 1\n"), OneAttempt);
  EXPECT_EQ(RuleBroken(result), 0);
  EXPECT_NEAR(static_cast<double>(Count(result, "timeouts")), 40, 20) << "20 a second for two of five";
  EXPECT_EQ(Count(result, "served") + Count(result, "timeouts"), Count(result, "attempts"));
  EXPECT_EQ(Count(result, "resets"), 0);
}

TEST(World, AResetIsToldAtOnceAndRunsNothing) {
  const RunResult all =
      RunScripted(Plain("[[trouble]]\nkind = \"resets\"\nat_s = 0\nsize = 1\n"), OneAttempt);
  EXPECT_EQ(Count(all, "resets"), Count(all, "attempts"));
  EXPECT_EQ(Count(all, "served"), 0);
  EXPECT_EQ(Count(all, "timeouts"), 0);
}

TEST(World, AClientWithoutPatienceComesAgainAsOftenAsItsDeadlineAllows) {
  // A backend that takes 200 ms for what such clients wait 100 for: nothing of theirs is ever in time.
  const std::string slow =
      "[[class]]\nwork_ms = 200\ndistribution = \"constant\"\nattempt_noise = 0\n"
      "aim_ms = 500\ndeadline_ms = 1000\n[load]\nrate = 1\n[fleet]\nbackends = 8\n";
  const RunResult patient = RunScripted(Plain(slow), OneAttempt);
  const RunResult hasty = RunScripted(
      Plain(slow + "[[trouble]]\nkind = \"impatience\"\nat_s = 0\npart = 1\nsize = 100\n"), OneAttempt);
  EXPECT_EQ(Count(patient, "tries"), Count(patient, "first_tries"));
  EXPECT_EQ(Count(hasty, "first_tries"), Count(patient, "first_tries"));
  EXPECT_EQ(Count(hasty, "served"), 0);
  EXPECT_NEAR(static_cast<double>(Count(hasty, "tries")),
              9.5 * static_cast<double>(Count(hasty, "first_tries")), 0.6 * Count(hasty, "first_tries"));
}

// ---- the scenarios that are shipped -------------------------------------------------------------------

TEST(Shipped, EveryScenarioIsGoodAndOurModuleKeepsTheRulesInIt) {
  int played = 0;
  for (const auto& entry : std::filesystem::directory_iterator(std::string(SOURCE_DIR) + "/lab/scenarios")) {
    Scenario s = ReadScenario(entry.path().string());
    EXPECT_FALSE(s.title.empty()) << entry.path();
    if (entry.path().stem().string().starts_with("mass_")) {
      s.fleet.backends = 50, s.fleet.proxies = 75;  // each in small: a quarter of it
      for (Fault& t : s.faults) t.size = t.kind == FaultKind::kRollingRestart ? t.size / 4 : t.size;
      s.discovery.calls_per_s /= 4;
    }
    if (s.fleet.backends > 100) continue;  // for a benchmark, not a test
    ++played;
    const RunResult result = RunWithTrace(s, RunOptions{});
    EXPECT_EQ(result.violations, 0) << entry.path() << result.json["broken"].dump(1);
  }
  EXPECT_GE(played, 28);
}

// What one cold backend bears is the sum over two dozen proxies: N + 2 roots of N + 2 requests (fall_roots).
// With a pick that has no cold budget the same day breaks the rule.
TEST(Shipped, NoColdBackendOfAThrongIsPushedOverByTheSumOfAllProxies) {
  Scenario s = ReadScenario(std::string(SOURCE_DIR) + "/lab/scenarios/throng.toml");
  for (const BackendType& m : s.backend_types) EXPECT_EQ(m.overload_deviations, 2);
  RunOptions options;
  for (options.seed = 1; options.seed <= 60; ++options.seed) {
    const RunResult result = RunWithTrace(s, options);
    EXPECT_EQ(result.violations, 0) << "seed " << options.seed << " " << result.json["broken"].dump(1);
  }
  options.seed = 1;
  options.policy = "p2c";
  EXPECT_GT(RunWithTrace(s, options).violations, 0);
}

}  // namespace
}  // namespace copperpoint::simulation
