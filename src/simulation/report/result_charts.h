// SPDX-License-Identifier: Apache-2.0
//
// The charts of the results of a comparison, a single run or a sweep.
#ifndef COPPERPOINT_SIMULATION_REPORT_RESULT_CHARTS_H_
#define COPPERPOINT_SIMULATION_REPORT_RESULT_CHARTS_H_

#include <nlohmann/json.hpp>
#include <vector>

#include "simulation/report/chart.h"

namespace copperpoint::simulation {

// Returns time lines of goodput and latency and, if there are several runs, bar charts that compare the
// policies.
std::vector<Chart> ChartsOfComparison(const nlohmann::ordered_json& comparison);

// Returns a chart of each metric over the first varied key with numeric values, with a curve for each policy
// and each combination of the other keys' values (the mean over the seeds), and heat maps of the recovery
// after faults. `results` are as ReadSweep returns them. Throws std::runtime_error if no varied key is
// numeric.
std::vector<Chart> ChartsOfSweep(const std::vector<nlohmann::ordered_json>& results);

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_REPORT_RESULT_CHARTS_H_
