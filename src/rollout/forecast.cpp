// SPDX-License-Identifier: Apache-2.0
#include "rollout/forecast.h"

#include <algorithm>
#include <boost/math/distributions/normal.hpp>
#include <cmath>
#include <cstddef>

#include "rollout/sequential_test.h"

namespace copperpoint::rollout {
namespace {

constexpr double kMinMissedFraction = 0.001, kMaxMissedFraction = 0.5;  // The range that forecasts assume.
constexpr std::size_t kAssumedSegments = 8;  // Classes, zones and tenants that are compared separately.
constexpr double kUndetectableFraction = 2;  // Greater than any fraction of requests.
constexpr double kBakeTimeStep = 1.02;       // The ratio between successive bake times in the search.
constexpr double kMaxBakeTimeS = 1e6;        // The search ends at this bake time, in seconds.

// The smallest increase of missed requests that a stage detects, as a function of its bake time.
class DetectableFraction {
 public:
  DetectableFraction(double canary_per_s, double baseline_per_s, double missed_fraction, double alpha,
                     double power_quantile)
      : canary_per_s_(canary_per_s),
        baseline_per_s_(baseline_per_s),
        missed_fraction_(missed_fraction),
        alpha_(alpha),
        power_quantile_(power_quantile) {}

  double After(double seconds) const {
    const double canary = canary_per_s_ * seconds, baseline = baseline_per_s_ * seconds;
    if (canary <= 0 || baseline <= 0) return kUndetectableFraction;
    const double weight = canary * baseline / (canary + baseline);
    const double variance = weight * missed_fraction_ * (1 - missed_fraction_);
    return (ScoreBoundary(variance, alpha_) + power_quantile_ * std::sqrt(variance)) / weight;
  }

 private:
  const double canary_per_s_, baseline_per_s_, missed_fraction_, alpha_, power_quantile_;
};

double RequiredBakeTime(const DetectableFraction& detectable, double fraction) {
  for (double seconds = 1; seconds < kMaxBakeTimeS; seconds *= kBakeTimeStep)
    if (detectable.After(seconds) <= fraction) return seconds;
  return StageForecast::kUndetectableS;
}

}  // namespace

std::vector<StageForecast> ForecastStages(const Plan& plan, const UpgradeOrder& order, double requests_per_s,
                                          double missed_fraction) {
  const int members = static_cast<int>(order.members.size());
  const double missed = std::clamp(missed_fraction, kMinMissedFraction, kMaxMissedFraction);
  const double power_quantile = boost::math::quantile(boost::math::normal(), plan.guardrails.power);
  const double alpha =
      AlphaPerTest(plan.guardrails.false_alarm_probability, plan.stages.size(), kAssumedSegments);
  const double member_requests_per_s = requests_per_s / std::max(1.0, static_cast<double>(members));
  std::vector<StageForecast> forecasts;
  int upgraded_before = 0;
  for (std::size_t k = 0; k < plan.stages.size(); ++k) {
    const Stage& stage = plan.stages[k];
    StageForecast forecast;
    forecast.canary = order.stage_ends[k];
    forecast.baseline = members - forecast.canary;
    const double canary_per_s = member_requests_per_s * forecast.canary;
    const double bake_time_s = std::max(
        stage.bake_time_s, canary_per_s > 0 ? static_cast<double>(stage.min_canary_requests) / canary_per_s
                                            : StageForecast::kUndetectableS);
    forecast.canary_requests = canary_per_s * bake_time_s;
    const int waves = (forecast.canary - upgraded_before + plan.max_unavailable - 1) / plan.max_unavailable;
    forecast.max_duration_s = waves * plan.upgrade_timeout_s + plan.settle_time_s + stage.bake_time_s;
    upgraded_before = forecast.canary;
    const DetectableFraction detectable(canary_per_s, member_requests_per_s * forecast.baseline, missed,
                                        alpha, power_quantile);
    forecast.detectable_fraction = detectable.After(bake_time_s);
    forecast.required_bake_time_s = forecast.baseline > 0
                                        ? RequiredBakeTime(detectable, plan.guardrails.missed_fraction)
                                        : StageForecast::kUndetectableS;
    forecasts.push_back(forecast);
  }
  return forecasts;
}

}  // namespace copperpoint::rollout
