// SPDX-License-Identifier: Apache-2.0
//
// Forecasts how long each stage of a plan takes and how small a regression it detects at the given traffic,
// before the rollout is started.
#ifndef COPPERPOINT_ROLLOUT_FORECAST_H_
#define COPPERPOINT_ROLLOUT_FORECAST_H_

#include <vector>

#include "rollout/plan.h"
#include "rollout/upgrade_order.h"

namespace copperpoint::rollout {

struct StageForecast {
  int canary = 0, baseline = 0;  // Numbers of members that are upgraded at the end of the stage, and others.
  double canary_requests = 0;    // The canaries' requests during the bake time.
  double max_duration_s = 0;     // Upgrades, settle time and bake time, without waiting for requests.
  // The smallest increase of the fraction of missed requests that is detected with the plan's power. Above 1
  // none is detected.
  double detectable_fraction = 0;
  // The bake time that detects an increase by Guardrails::missed_fraction; kUndetectableS if none does.
  double required_bake_time_s = 0;
  static constexpr double kUndetectableS = 1e9;
};

// `requests_per_s` is the request rate of all members together; `missed_fraction` is the fraction of these
// requests that the old version does not serve before their deadline. Returns one forecast per stage.
std::vector<StageForecast> ForecastStages(const Plan& plan, const UpgradeOrder& order, double requests_per_s,
                                          double missed_fraction);

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_FORECAST_H_
