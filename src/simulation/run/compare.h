// SPDX-License-Identifier: Apache-2.0
//
// Compares several policies on the same arrivals. The runs execute in parallel; the results are in the order
// of the policies, whichever run finishes first.
#ifndef COPPERPOINT_SIMULATION_RUN_COMPARE_H_
#define COPPERPOINT_SIMULATION_RUN_COMPARE_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "simulation/run/run.h"

namespace copperpoint::simulation {

// The names of the balancer (`ours`), the oracle, and each reference policy without retries, with three
// retries, and with a retry budget.
std::vector<std::string> AllPolicies();

struct Comparison {
  std::vector<RunResult> runs;  // one for each policy
  nlohmann::ordered_json json;  // deterministic
  std::string table;            // for people: a header, and a row for each policy
  std::int64_t violations = 0;  // rule violations by the balancer
};

// Calls `on_done` after each run, from one thread at a time. With `threads` 0, it uses one thread per core.
Comparison Compare(const Scenario& scenario, const std::vector<std::string>& policies, std::uint64_t seed,
                   unsigned threads, const std::function<void()>& on_done = {});

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_RUN_COMPARE_H_
