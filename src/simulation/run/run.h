// SPDX-License-Identifier: Apache-2.0
//
// One run: a scenario, a seed and a policy in virtual time. The same three give the same result, to the byte,
// on any machine and whatever else runs beside it.
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
  std::uint64_t traced_request = 0;  // 0: none
  std::string log_folder;            // for the log of each proxy, as `serve` writes it; empty: none
  log::Format log_format = log::Format::kText;
  MakePolicyFn make_policy = MakePolicy;  // tests use policies of their own
};

struct RunResult {
  nlohmann::ordered_json json;                // deterministic
  std::int64_t violations = 0;                // of the rules of service
  std::uint64_t first_violating_request = 0;  // 0: the first violation is not about a request
  std::vector<std::string> trace;             // of the traced request
  std::uint64_t events = 0;
  double wall_s = 0;
  double goodput = 0;
};

// Throws std::invalid_argument on an unknown policy, config::InvalidFile on a bad replay file.
RunResult Run(const Scenario& scenario, const RunOptions& options);

// Run, and if a rule is violated run again to trace the request of the first violation.
RunResult RunWithTrace(const Scenario& scenario, RunOptions options);

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_RUN_RUN_H_
