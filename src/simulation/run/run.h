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
  std::uint64_t trace = 0;  // a request whose story is kept; 0: none
  std::string logs;         // a folder for the log of each proxy, as `serve` writes it; empty: none
  log::Format log_format = log::Format::kText;
  MakePolicyFn make = MakePolicy;  // tests put policies of their own here
};

struct RunResult {
  nlohmann::ordered_json json;     // deterministic
  std::int64_t broken = 0;         // rules broken
  std::uint64_t first_broken = 0;  // the request of the first; 0: it is about none
  std::vector<std::string> story;  // of the traced request
  std::uint64_t events = 0;
  double wall_s = 0;
  double goodput = 0;
};

RunResult Run(const Scenario& scenario, const RunOptions& options);

// Run, and where a rule is broken run it once more to tell the story of the request.
RunResult RunAndTell(const Scenario& scenario, RunOptions options);

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_RUN_RUN_H_
