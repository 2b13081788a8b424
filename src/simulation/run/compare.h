// SPDX-License-Identifier: Apache-2.0
//
// Several policies on the same arrivals, side by side. Runs go in parallel; results are in the order of the
// policies, whatever finished first.
#ifndef COPPERPOINT_SIMULATION_RUN_COMPARE_H_
#define COPPERPOINT_SIMULATION_RUN_COMPARE_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "simulation/run/run.h"

namespace copperpoint::simulation {

// The program's own, the oracle, and each reference policy without retries, with three, and with a retry
// budget.
std::vector<std::string> AllPolicies();

struct Comparison {
  std::vector<RunResult> runs;  // one for each policy
  nlohmann::ordered_json json;  // deterministic
  std::string table;
  std::int64_t violations = 0;  // by the program's own policy
};

// Calls `on_done` after each run, from one thread at a time. `threads` 0: as many as there are cores.
Comparison Compare(const Scenario& scenario, const std::vector<std::string>& policies, std::uint64_t seed,
                   unsigned threads, const std::function<void()>& on_done = {});

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_RUN_COMPARE_H_
