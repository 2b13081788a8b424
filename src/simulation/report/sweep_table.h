// SPDX-License-Identifier: Apache-2.0
//
// The table of a sweep's results.
#ifndef COPPERPOINT_SIMULATION_REPORT_SWEEP_TABLE_H_
#define COPPERPOINT_SIMULATION_REPORT_SWEEP_TABLE_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace copperpoint::simulation {

// `results` as ReadSweep returns them. The scenario's objective (goodput, if it sets none) in the mean of the
// seeds: a line for each combination of values, a column for each policy, and the share of the oracle's that
// the program's own policy reaches, where both ran. Then, where runs have a fault that ends, how many of them
// recovered within Recovery::kAfterS, and the goodput of that time.
std::string SweepTable(const std::vector<nlohmann::ordered_json>& results);

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_REPORT_SWEEP_TABLE_H_
