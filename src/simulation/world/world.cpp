// SPDX-License-Identifier: Apache-2.0
#include "simulation/world/world.h"

namespace copperpoint::simulation {

World::World(const Scenario& s, std::uint64_t seed)
    : scenario(s),
      drawn(DrawScenario(s, seed)),
      network(s.network, s.fleet.zones, seed),
      rules(s.rules.drain_grace_ms),
      metrics(s),
      service_random(seed, "service") {
  backends.reserve(drawn.backends.size());
  for (const DrawnBackend& b : drawn.backends)
    backends.emplace_back(s.backend_types[static_cast<std::size_t>(b.type)], b.zone, b.cell, b.speed);
  proxies.resize(drawn.proxy_zones.size());
  for (std::size_t p = 0; p < proxies.size(); ++p) proxies[p].zone = drawn.proxy_zones[p];
}

std::uint32_t World::NewRequest() {
  std::uint32_t slot = 0;
  if (free_slots_.empty()) {
    slot = static_cast<std::uint32_t>(requests.size());
    requests.emplace_back();
  } else {
    slot = free_slots_.back();
    free_slots_.pop_back();
  }
  ClientRequest& request = requests[slot];
  const std::uint32_t generation = request.generation + 1;
  request = ClientRequest();
  request.generation = generation;
  request.references = 1;
  return slot;
}

void World::Release(std::uint32_t slot) {
  if (--requests[slot].references == 0) free_slots_.push_back(slot);
}

}  // namespace copperpoint::simulation
