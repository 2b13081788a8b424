// SPDX-License-Identifier: Apache-2.0
//
// Formats the results of a sweep as a table for people.
#ifndef COPPERPOINT_SIMULATION_REPORT_SWEEP_TABLE_H_
#define COPPERPOINT_SIMULATION_REPORT_SWEEP_TABLE_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace copperpoint::simulation {

// `results` are as ReadSweep returns them. The table shows the objective score (goodput if a result has
// none), averaged over the seeds: a line for each combination of values and a column for each policy. If both
// the balancer and the oracle ran, a further column has the ratio of their scores. For runs with a recovery,
// a line for each policy then tells how many recovered within Recovery::kAfterS, and the goodput in that
// time.
std::string SweepTable(const std::vector<nlohmann::ordered_json>& results);

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_REPORT_SWEEP_TABLE_H_
