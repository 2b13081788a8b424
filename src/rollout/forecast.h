// SPDX-License-Identifier: Apache-2.0
//
// Forecasts for a plan, before it is started, how long each stage takes and how small a regression it detects
// at the traffic that there is.
#ifndef COPPERPOINT_ROLLOUT_FORECAST_H_
#define COPPERPOINT_ROLLOUT_FORECAST_H_

#include <vector>

#include "rollout/plan.h"
#include "rollout/upgrade_order.h"

namespace copperpoint::rollout {

struct StageForecast {
  int canary = 0, baseline = 0;     // members that are upgraded at its end, and the others
  double canary_requests = 0;       // in its bake time
  double max_duration_s = 0;        // upgrades, settling and bake time, without waiting for requests
  double detectable_fraction = 0;   // the least increase of missed requests that is detected with the plan's
                                    // power; above 1: none
  double required_bake_time_s = 0;  // to detect Guardrails::missed_fraction; kUndetectableS: never
  static constexpr double kUndetectableS = 1e9;
};

// `requests_per_s`: over all members; `missed_fraction`: of these that are not served in time today.
std::vector<StageForecast> ForecastStages(const Plan& plan, const UpgradeOrder& order, double requests_per_s,
                                          double missed_fraction);

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_FORECAST_H_
