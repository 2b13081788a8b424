// SPDX-License-Identifier: Apache-2.0
//
// Simulates complete rollouts in virtual time over many seeds, with faults during the rollout.
#include <gtest/gtest.h>

#include <cstdint>
#include <string>

#include "fault_testing/simulate_rollout.h"
#include "rollout_testing.h"

namespace copperpoint::rollout {
namespace {

fault_testing::TrialResult Play(fault_testing::TrialOptions options) {
  options.members = 9;
  options.classes = 2;
  options.tenants = 1;
  return fault_testing::SimulateRollout(kPlan, "plan", options);
}

TEST(SimulatedRollout, GuaranteesHoldUnderRandomFaults) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    fault_testing::TrialOptions options;
    options.seed = seed;
    options.member_faults = true;
    options.length_s = 400;
    const fault_testing::TrialResult result = Play(options);
    std::string lines;
    for (const std::string& line : result.story) lines += line + "\n";
    EXPECT_TRUE(result.holds) << "seed " << seed << "\n" << lines;
  }
}

TEST(SimulatedRollout, SevereFaultOfTheNewVersionStopsInTheFirstStage) {
  for (const fault_testing::Regression regression :
       {fault_testing::Regression::kDoesNotStart, fault_testing::Regression::kCrashes,
        fault_testing::Regression::kIsolated}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      fault_testing::TrialOptions options;
      options.seed = seed;
      options.regression = regression;
      options.amount = 5;
      const fault_testing::TrialResult result = Play(options);
      EXPECT_TRUE(result.stopped && !result.done) << static_cast<int>(regression) << " seed " << seed;
      EXPECT_LE(result.ever, 1) << seed;
    }
  }
}

}  // namespace
}  // namespace copperpoint::rollout
