// SPDX-License-Identifier: Apache-2.0
#include "simulation/run/run.h"

#include "simulation/run/simulation.h"

namespace copperpoint::simulation {

RunResult Run(const Scenario& scenario, const RunOptions& options) {
  return Simulation(scenario, options).Run();
}

RunResult RunWithTrace(const Scenario& scenario, RunOptions options) {
  RunResult result = Run(scenario, options);
  if (result.first_violating_request == 0 || options.traced_request != 0) return result;
  options.traced_request = result.first_violating_request;
  options.log_folder.clear();
  result.trace = Run(scenario, options).trace;
  return result;
}

}  // namespace copperpoint::simulation
