// SPDX-License-Identifier: Apache-2.0
//
// One draw from a scenario: which backends there are and how fast, where the proxies stand, whom each
// trouble befalls. The same scenario and seed give the same day whatever the policy.
#ifndef COPPERPOINT_SIMULATION_WORLD_DAY_H_
#define COPPERPOINT_SIMULATION_WORLD_DAY_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

#include "copperpoint/balancer.h"
#include "simulation/scenario/scenario.h"

namespace copperpoint::simulation {

struct DrawnBackend {
  int machine = 0, zone = 0, cell = 0;
  double speed = 1;
};

struct Day {
  std::uint64_t seed = 0;
  std::vector<DrawnBackend> backends;
  std::vector<int> proxy_zones;
  std::vector<std::vector<std::uint32_t>> targets;  // of each trouble: backends, or proxies
  std::uint64_t poison = 0;                         // the poisonous key
};

Day Draw(const Scenario& scenario, std::uint64_t seed);

nlohmann::ordered_json Json(const Scenario& scenario, const Day& day);

// What a proxy of this scenario is told of it.
Settings SettingsOf(const Scenario& scenario, const Day& day, int proxy);

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_DAY_H_
