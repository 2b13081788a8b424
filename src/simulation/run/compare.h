// SPDX-License-Identifier: Apache-2.0
//
// Several policies on the same arrivals, side by side, and a sweep of keys over ranges. Runs go in parallel
// on threads of their own; results are in the order of the policies or points, whatever finished first.
#ifndef COPPERPOINT_SIMULATION_RUN_COMPARE_H_
#define COPPERPOINT_SIMULATION_RUN_COMPARE_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "simulation/run/run.h"

namespace copperpoint::simulation {

// Ours, the oracle, and each rival with no repeats, three, and a budget of them.
std::vector<std::string> AllPolicies();

struct Comparison {
  std::vector<RunResult> runs;  // one for each policy
  nlohmann::ordered_json json;  // deterministic
  std::string table;
  std::int64_t broken = 0;  // by `ours`
};

// Calls `done` after each run, from one thread at a time. `threads` 0: as many as there are cores.
Comparison Compare(const Scenario& scenario, const std::vector<std::string>& policies, std::uint64_t seed,
                   unsigned threads, const std::function<void()>& done = {});

// Calls job(0..n-1), each once, on that many threads. The first exception is thrown again when all have
// ended.
void InParallel(std::size_t n, unsigned threads, const std::function<void(std::size_t)>& job);

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_RUN_COMPARE_H_
