// SPDX-License-Identifier: Apache-2.0
#include "rollout/sequential_test.h"

#include <algorithm>
#include <cmath>

#include "rollout/measures.h"

namespace copperpoint::rollout {

double ScoreBoundary(double variance, double alpha) {
  const double v = variance, m = kMixtureVariance;
  return std::sqrt((v + m) * std::log((v + m) / (m * alpha * alpha)));
}

double AlphaPerTest(double false_alarm_probability, std::size_t stages, std::size_t segments) {
  const std::size_t tests_per_stage = kMeasures * (1 + segments);
  return false_alarm_probability / static_cast<double>(std::max<std::size_t>(1, stages) * tests_per_stage);
}

}  // namespace copperpoint::rollout
