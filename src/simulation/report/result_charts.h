// SPDX-License-Identifier: Apache-2.0
//
// The charts of results: of a comparison or a single run, and of a sweep.
#ifndef COPPERPOINT_SIMULATION_REPORT_RESULT_CHARTS_H_
#define COPPERPOINT_SIMULATION_REPORT_RESULT_CHARTS_H_

#include <nlohmann/json.hpp>
#include <vector>

#include "simulation/report/chart.h"

namespace copperpoint::simulation {

// Time lines of goodput and latency, and bars with the policies side by side.
std::vector<Chart> ChartsOfComparison(const nlohmann::ordered_json& comparison);

// Each figure over the first varied key that is a number, a curve for each policy and for each value of the
// other keys, the mean over the seeds; and heat maps of the recovery after faults. `results` as ReadSweep
// returns them. Throws std::runtime_error if no varied key is a number.
std::vector<Chart> ChartsOfSweep(const std::vector<nlohmann::ordered_json>& results);

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_REPORT_RESULT_CHARTS_H_
