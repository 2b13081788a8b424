// SPDX-License-Identifier: Apache-2.0
//
// Tests how often the canary analysis stops a rollout with and without a regression, over many seeds.
#include "rollout/canary_analysis.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/random/binomial_distribution.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "simulation/core/random.h"

namespace copperpoint::rollout {
namespace {

class Traffic {
 public:
  explicit Traffic(std::uint64_t seed) : random_(seed, "compare") {}

  wire::Stratum Draw(int requests, double missed_fraction) {
    wire::Stratum stratum;
    stratum.set_requests(static_cast<std::uint64_t>(requests));
    stratum.set_attempts(static_cast<std::uint64_t>(requests));
    stratum.set_missed(static_cast<std::uint64_t>(boost::random::binomial_distribution<int>(
        requests, std::min(1.0, missed_fraction))(random_.engine())));
    return stratum;
  }
  double DrawFactor(double deviation) { return random_.Lognormal(1, deviation); }

 private:
  simulation::Random random_;
};

struct Scenario {
  double regression = 0;           // Added to the canary's fraction of missed requests.
  double member_deviation = 0;     // The lognormal deviation of the members' fractions of missed requests.
  double fault_factor = 1;         // Multiplies all these fractions in 14 of 40 windows.
  int members = 9, windows = 120;  // The first member is the canary.
};

// Returns whether the analysis finds a regression in any window.
bool IsStopped(std::uint64_t seed, const Scenario& scenario) {
  const Guardrails guardrails;
  std::vector<MemberInfo> members;
  for (int i = 0; i < scenario.members; ++i)
    members.push_back({std::string("p").append(std::to_string(i)), "a"});
  CanaryAnalysis analysis(guardrails, 1, members);
  analysis.StartStage();
  Traffic traffic(seed);
  std::vector<double> missed;
  for (int i = 0; i < scenario.members; ++i)
    missed.push_back(0.02 * traffic.DrawFactor(scenario.member_deviation));
  for (int window = 0; window < scenario.windows; ++window) {
    const double factor = window % 40 > 25 ? scenario.fault_factor : 1;
    for (int i = 0; i < scenario.members; ++i) {
      const Cohort cohort = i == 0 ? Cohort::kCanary : Cohort::kBaseline;
      const double more = cohort == Cohort::kCanary ? scenario.regression : 0;
      analysis.Add(i, cohort, traffic.Draw(20, missed[static_cast<std::size_t>(i)] * factor + more));
    }
    analysis.EndWindow();
    if (analysis.FindRegression()) return true;
  }
  return false;
}

int CountStopped(std::uint64_t seeds, const Scenario& scenario) {
  int stopped = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) stopped += IsStopped(seed, scenario);
  return stopped;
}

// Guards against a boundary that holds for a single evaluation only: over 120 windows it raises false alarms.
TEST(CanaryAnalysis, RolloutWithoutRegressionIsSeldomStopped) { EXPECT_LE(CountStopped(500, {}), 5); }

TEST(CanaryAnalysis, FaultsOfBothCohortsDoNotCountAgainstTheCanary) {
  EXPECT_LE(CountStopped(200, {.member_deviation = 0.3, .fault_factor = 10}), 4);
}

TEST(CanaryAnalysis, RegressionIsDetected) {
  EXPECT_GE(CountStopped(200, {.regression = 0.05, .member_deviation = 0.3, .members = 40}), 195);
}

// ---- one stage -------------------------------------------------------------------------------------------

wire::Stratum MakeStratum(std::uint32_t request_class, std::uint32_t tenant, std::uint64_t requests,
                          std::uint64_t missed) {
  wire::Stratum stratum;
  stratum.set_request_class(request_class);
  stratum.set_tenant(tenant);
  stratum.set_requests(requests);
  stratum.set_attempts(requests);
  stratum.set_missed(missed);
  return stratum;
}

class CanaryAnalysisOfFour : public ::testing::Test {
 protected:
  Guardrails guardrails_;
  std::vector<MemberInfo> members_{{"p1", "a"}, {"p2", "a"}, {"p3", "b"}, {"p4", "b"}};
  CanaryAnalysis analysis_{guardrails_, 1, members_};
};

TEST_F(CanaryAnalysisOfFour, RegressionNamesMeasureSegmentAndDifference) {
  analysis_.Add(0, Cohort::kCanary, MakeStratum(2, 7, 1000, 300));
  analysis_.Add(1, Cohort::kBaseline, MakeStratum(2, 7, 1000, 10));
  analysis_.EndWindow();
  const auto regression = analysis_.FindRegression();
  ASSERT_TRUE(regression);
  EXPECT_EQ(regression->measure, Measure::kMissed);
  EXPECT_EQ(regression->segment, "all");
  EXPECT_DOUBLE_EQ(regression->difference, 0.29);
  EXPECT_GT(regression->score, regression->boundary);
}

TEST_F(CanaryAnalysisOfFour, SegmentWithTheRegressionIsFoundAmongOthers) {
  for (const int rank : {0, 1}) {
    const Cohort cohort = rank == 0 ? Cohort::kCanary : Cohort::kBaseline;
    analysis_.Add(rank, cohort, MakeStratum(1, 0, 100000, 500));
    analysis_.Add(rank, cohort, MakeStratum(2, 0, 1000, cohort == Cohort::kCanary ? 200 : 5));
  }
  analysis_.EndWindow();
  ASSERT_TRUE(analysis_.FindRegression());
  EXPECT_EQ(analysis_.FindRegression()->segment, "class 2");
}

TEST_F(CanaryAnalysisOfFour, ZonesWithOneCohortEachAreComparedByClass) {
  analysis_.Add(0, Cohort::kCanary, MakeStratum(2, 0, 1000, 300));
  analysis_.Add(2, Cohort::kBaseline, MakeStratum(2, 0, 1000, 10));
  analysis_.EndWindow();
  EXPECT_TRUE(analysis_.FindRegression());
}

TEST_F(CanaryAnalysisOfFour, StratumWaitsForRequestsToBothCohortsOfItsZone) {
  analysis_.Add(0, Cohort::kCanary, MakeStratum(1, 0, 10, 0));
  analysis_.Add(1, Cohort::kBaseline, MakeStratum(1, 0, 10, 0));
  analysis_.Add(0, Cohort::kCanary, MakeStratum(2, 0, 1000, 300));
  analysis_.EndWindow();
  EXPECT_FALSE(analysis_.FindRegression());
  analysis_.Add(1, Cohort::kBaseline, MakeStratum(2, 0, 1000, 10));
  analysis_.EndWindow();
  EXPECT_TRUE(analysis_.FindRegression());
}

TEST_F(CanaryAnalysisOfFour, SlowResponsesAreCountedByTheBaselineOfEarlierWindows) {
  const auto add = [&](int rank, Cohort cohort, int slow_requests) {
    wire::Stratum stratum = MakeStratum(1, 0, 1000, 0);
    stratum.add_latency_buckets(static_cast<std::uint32_t>(1000 - slow_requests));
    stratum.add_latency_buckets(static_cast<std::uint32_t>(slow_requests));
    analysis_.Add(rank, cohort, stratum);
  };
  add(0, Cohort::kCanary, 900);
  add(1, Cohort::kBaseline, 20);
  analysis_.EndWindow();
  EXPECT_FALSE(analysis_.FindRegression());  // There is no earlier window.
  add(0, Cohort::kCanary, 900);
  add(1, Cohort::kBaseline, 20);
  analysis_.EndWindow();
  ASSERT_TRUE(analysis_.FindRegression());
  EXPECT_EQ(analysis_.FindRegression()->measure, Measure::kAboveMedian);
}

TEST_F(CanaryAnalysisOfFour, TotalsAreOfTheStage) {
  analysis_.Add(0, Cohort::kCanary, MakeStratum(1, 0, 100, 3));
  analysis_.Add(1, Cohort::kBaseline, MakeStratum(1, 0, 50, 1));
  EXPECT_EQ(analysis_.canary_requests(), 100u);
  EXPECT_EQ(analysis_.totals(Cohort::kCanary).missed, 3);
  EXPECT_EQ(analysis_.totals(Cohort::kBaseline).requests, 50);
  analysis_.StartStage();
  EXPECT_EQ(analysis_.canary_requests(), 0u);
  EXPECT_EQ(analysis_.totals(Cohort::kCanary).requests, 0);
}

}  // namespace
}  // namespace copperpoint::rollout
