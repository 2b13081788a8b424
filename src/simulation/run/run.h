// SPDX-License-Identifier: Apache-2.0
//
// One run: simulates a scenario with a seed and a policy in virtual time. The same scenario, seed and policy
// give the same result, byte for byte, on any machine and under any load of that machine.
#ifndef COPPERPOINT_SIMULATION_RUN_RUN_H_
#define COPPERPOINT_SIMULATION_RUN_RUN_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "log/log.h"
#include "simulation/policies/policy.h"
#include "simulation/scenario/scenario.h"

namespace copperpoint::simulation {

using MakePolicyFn = std::function<std::unique_ptr<Policy>(const std::string& name, PolicyContext context)>;

struct RunOptions {
  std::string policy = "ours";
  std::uint64_t seed = 1;
  std::uint64_t traced_request = 0;  // id of the request to trace; 0: none
  std::string log_folder;            // where each proxy's log is written, as by `serve`; empty: no logs
  log::Format log_format = log::Format::kText;
  MakePolicyFn make_policy = MakePolicy;  // tests substitute other policies
};

struct RunResult {
  nlohmann::ordered_json json;                // deterministic
  std::int64_t violations = 0;                // number of violations of the rules of service
  std::uint64_t first_violating_request = 0;  // 0: no violation concerns a request
  std::vector<std::string> trace;             // of the traced request
  std::uint64_t events = 0;                   // number of events processed
  double wall_s = 0;                          // duration of the run in real time, in seconds
  double goodput = 0;
};

// Throws std::invalid_argument if the policy is unknown, config::InvalidFile if the replay file is invalid.
RunResult Run(const Scenario& scenario, const RunOptions& options);

// As Run; if a rule is violated, it runs again to trace the first request that a violation concerns.
RunResult RunWithTrace(const Scenario& scenario, RunOptions options);

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_RUN_RUN_H_
