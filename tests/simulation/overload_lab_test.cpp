// SPDX-License-Identifier: Apache-2.0
//
// Tests the admission gates that the balancer is compared with, the measurement of recovery, and a small
// outage in virtual time after which client retries can keep the backends overloaded.
#include <gtest/gtest.h>

#include <string>

#include "config/read.h"
#include "simulation/policies/admission_gates.h"
#include "simulation/policies/policy.h"
#include "simulation/report/recovery.h"
#include "simulation/run/run.h"

namespace copperpoint::simulation {
namespace {

// Four backends of two cores each; the offered load is the fraction `of_capacity` of their capacity.
std::string ServiceScenario(double of_capacity, const std::string& more = "") {
  return "length_s = 20\nwindow_s = 0.5\n[load]\nof_capacity = " + std::to_string(of_capacity) +
         "\nkeys = 500\n[[class]]\nname = \"lookup\"\nshare = 0.7\nwork_ms = 50\naim_ms = 400\ndeadline_ms = "
         "2000\n"
         "worth = 5\n[[class]]\nname = \"booking\"\nshare = 0.3\nsafe = false\nwork_ms = 70\naim_ms = 400\n"
         "deadline_ms = 1200\nworth = 3\n[clients]\nretry = \"immediate\"\nretries = 4\ntry_share = 0.25\n"
         "[[machine]]\ncores = 2\nqueue = 60\ncancelled = \"queued\"\n[fleet]\nbackends = 4\nproxies = 2\n"
         "[goal]\nwhole = 0.6\nworst_class = 0.4\n" +
         more;
}

RunResult Play(const std::string& text, const std::string& policy) {
  RunOptions options;
  options.policy = policy;
  return Run(config::LoadText<Scenario>(text, "s.toml"), options);
}

TEST(Gates, EachRaisesGoodputUnderOverloadAndKeepsItAtHalfLoad) {
  const double none = Play(ServiceScenario(1.5), "least_request+budget").goodput;
  EXPECT_LT(none, 0.2) << "client retries keep the backends overloaded";
  for (const std::string& gate : AdmissionGateNames()) {
    // CoDel's control law assumes senders that slow down: it rejects too few requests of clients that don't.
    const double times = gate == "codel" ? 0.3 : 2;
    EXPECT_GT(Play(ServiceScenario(1.5), "least_request+" + gate).goodput, times * none) << gate;
    EXPECT_GT(Play(ServiceScenario(0.5), "least_request+" + gate).goodput, 0.95) << gate;
  }
  EXPECT_THROW(MakeAdmissionGate("none", Settings()), std::invalid_argument);
  EXPECT_THROW(MakePolicy("least_request+none", PolicyContext()), std::invalid_argument);
}

TEST(Recovery, MeasuresGoodputBeforeDuringAndAfterFaultsAndTheTimeToRecover) {
  Scenario s;
  s.length_s = 20;
  s.window_s = 1;
  s.faults = {{.at_s = 5, .for_s = 3}, {.at_s = 6, .for_s = 4}};
  std::vector<GoodputWindow> line;
  for (int i = 0; i < 20; ++i)
    line.push_back({1.0 * i, 10, i < 5 ? 10.0 : i < 10 ? 1.0 : i < 12 ? 6.0 : 9.8});
  const auto r = MeasureRecovery(s, line);
  ASSERT_TRUE(r);
  EXPECT_DOUBLE_EQ(r->before, 1);
  EXPECT_DOUBLE_EQ(r->during, 0.1);
  EXPECT_NEAR(r->after, (2 * 6 + 3 * 9.8) / 50, 1e-9);
  EXPECT_DOUBLE_EQ(r->recovered_after_s.value(), 2);
  for (GoodputWindow& window : line) window.served = std::min(window.served, window.at_s < 5 ? 10.0 : 9.0);
  EXPECT_FALSE(MeasureRecovery(s, line)->recovered_after_s) << "goodput never reaches its previous level";
  s.faults[1].for_s = 12;
  EXPECT_FALSE(MeasureRecovery(s, line)) << "the last fault ends too late for a measurement";
}

// All backends stall for four seconds and every client retries up to four times immediately. These retries
// must not keep the backends overloaded after the stall.
TEST(Outage, BalancerRecoversWithin2SecondsWhereARetryBudgetDoesNot) {
  const std::string text =
      ServiceScenario(0.85, "[[trouble]]\nkind = \"stall\"\nat_s = 6\nfor_s = 4\npart = 1\n");
  const RunResult ours = Play(text, "ours"), reference = Play(text, "least_request+budget");
  EXPECT_EQ(ours.violations, 0);
  EXPECT_LE(ours.json["recovery"]["back_s"].get<double>(), 2);
  EXPECT_GT(reference.json["recovery"]["back_s"].get<double>(), 5);
  EXPECT_LE(ours.json["attempts_per_request"].get<double>(), 1.1);
}

TEST(ClientRetryAccuracy, IsExactWithHintsAndDetectsNothingWithoutHintAndKey) {
  const auto counts = Play(ServiceScenario(1.5), "ours").json["counts"];
  EXPECT_GT(counts["repeats_here"].get<int>(), 100);
  EXPECT_EQ(counts["recognised"], counts["repeats_here"]);
  EXPECT_EQ(counts["mistaken"], 0);
  std::string without_hints = ServiceScenario(1.5);
  without_hints.replace(without_hints.find("keys = 500"), 10, "keys = 0\nhint_error = -1");
  const auto none = Play(without_hints, "ours").json["counts"];
  EXPECT_GT(none["repeats_here"].get<int>(), 100);
  EXPECT_EQ(none["recognised"], 0);
  EXPECT_EQ(none["mistaken"], 0);
}

// At three times the capacity, the class with the lower priority weight must not be starved, since the
// objective weights the worst class.
TEST(Overload, NoClassIsStarvedIfTheObjectiveCountsTheWorstClass) {
  const RunResult ours = Play(ServiceScenario(3), "ours");
  const double lookup = ours.json["classes"]["lookup"], booking = ours.json["classes"]["booking"];
  EXPECT_NEAR(lookup, booking, 0.1);
  EXPECT_GT(booking, 0.2);
  EXPECT_EQ(ours.violations, 0);
}

}  // namespace
}  // namespace copperpoint::simulation
