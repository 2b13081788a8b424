// SPDX-License-Identifier: Apache-2.0
#include "rollout/sequential_test.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

namespace copperpoint::rollout {
namespace {

TEST(SequentialTest, BoundaryIsThatOfTheFormula) {
  // sqrt((V + m) log((V + m) / (m alpha^2))) with V = 20, m = 5, alpha = 0.01: sqrt(25 log(50000)).
  EXPECT_NEAR(ScoreBoundary(20, 0.01), std::sqrt(25 * std::log(50000.0)), 1e-12);
  EXPECT_NEAR(ScoreBoundary(0, 0.1), std::sqrt(5 * std::log(100.0)), 1e-12);
}

TEST(SequentialTest, BoundaryGrowsWithVarianceAndCertainty) {
  EXPECT_LT(ScoreBoundary(10, 0.01), ScoreBoundary(20, 0.01));
  EXPECT_LT(ScoreBoundary(10, 0.01), ScoreBoundary(10, 0.001));
}

// Guards against a boundary for a single evaluation, such as 1.96 standard deviations for alpha = 0.05: most
// random walks exceed it at some time.
TEST(SequentialTest, RandomWalkSeldomExceedsItsBoundaryAtAnyTime) {
  std::mt19937 random(1);
  std::normal_distribution<double> step;
  int exceeded = 0;
  for (int walk = 0; walk < 1000; ++walk) {
    double score = 0;
    for (int variance = 1; variance <= 1000; ++variance) {
      score += step(random);
      if (score > ScoreBoundary(variance, 0.05)) {
        ++exceeded;
        break;
      }
    }
  }
  EXPECT_LE(exceeded, 50);
}

TEST(SequentialTest, AlphaIsDividedAmongAllTestsOfARollout) {
  EXPECT_DOUBLE_EQ(AlphaPerTest(0.01, 1, 0), 0.01 / 4);
  EXPECT_DOUBLE_EQ(AlphaPerTest(0.01, 3, 8), 0.01 / (3 * (4 + 4 * 8)));
  EXPECT_DOUBLE_EQ(AlphaPerTest(0.01, 0, 8), AlphaPerTest(0.01, 1, 8));
}

}  // namespace
}  // namespace copperpoint::rollout
