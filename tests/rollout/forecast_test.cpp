// SPDX-License-Identifier: Apache-2.0
#include "rollout/forecast.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "rollout_testing.h"
#include "support/run_program.h"

namespace copperpoint::rollout {
namespace {

using testing_support::Finished;
using testing_support::RunProgram;

std::vector<StageForecast> ForecastOf(double requests_per_s) {
  const Plan plan = ParsePlan(kPlan, "plan");
  return ForecastStages(plan, MakeUpgradeOrder(plan, NineMembers(), 1), requests_per_s, 0.01);
}

TEST(Forecast, PlanThatCannotDetectItsGuardrailIsRejectedWithTheBakeTimeThatWould) {
  const testing_support::TemporaryFolder folder;
  const std::string file = folder.Write("plan.toml", kPlan);
  Finished finished = RunProgram(PROGRAM_PATH, "rollout plan " + file + " --members 9 --rate 9");
  EXPECT_EQ(finished.code, 2) << finished.out;
  EXPECT_NE(finished.err.find("watch_s = "), std::string::npos) << finished.err;
  finished = RunProgram(PROGRAM_PATH, "rollout plan " + file + " --members 9 --rate 900");
  EXPECT_EQ(finished.code, 0) << finished.err;
}

TEST(Forecast, StageCountsItsMembersRequestsAndLongestDuration) {
  const std::vector<StageForecast> stages = ForecastOf(900);
  ASSERT_EQ(stages.size(), 3u);
  EXPECT_EQ(stages[0].canary, 1);
  EXPECT_EQ(stages[0].baseline, 8);
  EXPECT_DOUBLE_EQ(stages[0].canary_requests, 1000);  // 100 requests per second for 10 s.
  EXPECT_DOUBLE_EQ(stages[0].max_duration_s, 10 + 1 + 10);
  EXPECT_EQ(stages[1].canary, 3);
  EXPECT_DOUBLE_EQ(stages[1].max_duration_s, 2 * 10 + 1 + 8);
}

TEST(Forecast, MoreTrafficDetectsSmallerRegressionsInLessTime) {
  const StageForecast little = ForecastOf(90)[0], much = ForecastOf(900)[0];
  EXPECT_LT(much.detectable_fraction, little.detectable_fraction);
  EXPECT_LT(much.required_bake_time_s, little.required_bake_time_s);
}

TEST(Forecast, StageWithoutABaselineOrTrafficDetectsNothing) {
  const StageForecast last = ForecastOf(900)[2];
  EXPECT_EQ(last.baseline, 0);
  EXPECT_GT(last.detectable_fraction, 1);
  EXPECT_EQ(last.required_bake_time_s, StageForecast::kUndetectableS);
  EXPECT_GT(ForecastOf(0)[0].detectable_fraction, 1);
}

}  // namespace
}  // namespace copperpoint::rollout
