// SPDX-License-Identifier: Apache-2.0
//
// One draw from a scenario: the type, zone and speed of each backend, the zone of each proxy, and the targets
// of each fault. The same scenario and seed give the same draw for every policy.
#ifndef COPPERPOINT_SIMULATION_WORLD_DRAWN_SCENARIO_H_
#define COPPERPOINT_SIMULATION_WORLD_DRAWN_SCENARIO_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

#include "copperpoint/balancer.h"
#include "simulation/scenario/scenario.h"

namespace copperpoint::simulation {

struct DrawnBackend {
  int type = 0;  // index into the scenario's backend types
  int zone = 0;
  int cell = 0;
  double speed = 1;  // of a core
};

struct DrawnScenario {
  std::uint64_t seed = 0;
  std::vector<DrawnBackend> backends;
  std::vector<int> proxy_zones;
  std::vector<std::vector<std::uint32_t>> fault_targets;  // by fault: the backends or proxies affected
  std::uint64_t poison_key = 0;                           // 0: none
};

DrawnScenario DrawScenario(const Scenario& scenario, std::uint64_t seed);

// The draw as JSON, for reports.
nlohmann::ordered_json Json(const Scenario& scenario, const DrawnScenario& drawn);

// The settings of the decision module for one proxy of this scenario.
Settings ProxySettings(const Scenario& scenario, const DrawnScenario& drawn, int proxy);

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_DRAWN_SCENARIO_H_
