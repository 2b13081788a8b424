// SPDX-License-Identifier: Apache-2.0
//
// One draw from a scenario: which backends there are and how fast, in which zones the proxies are, and whom
// each fault affects. The same scenario and seed give the same draw whatever the policy.
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
  double speed = 1;
};

struct DrawnScenario {
  std::uint64_t seed = 0;
  std::vector<DrawnBackend> backends;
  std::vector<int> proxy_zones;
  std::vector<std::vector<std::uint32_t>> fault_targets;  // of each fault: backends, or proxies
  std::uint64_t poison_key = 0;                           // 0: none
};

DrawnScenario DrawScenario(const Scenario& scenario, std::uint64_t seed);

nlohmann::ordered_json Json(const Scenario& scenario, const DrawnScenario& drawn);

// The settings that a proxy of this scenario gets.
Settings ProxySettings(const Scenario& scenario, const DrawnScenario& drawn, int proxy);

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_DRAWN_SCENARIO_H_
