// SPDX-License-Identifier: Apache-2.0
#include "simulation/world/state.h"

namespace copperpoint::simulation {

State::State(const Scenario& s, std::uint64_t seed)
    : scenario(s),
      day(Draw(s, seed)),
      network(s.network, s.fleet.zones, seed),
      observer(s.rules.drain_grace_ms),
      metrics(s),
      chance(seed, "service") {
  backends.reserve(day.backends.size());
  for (const DrawnBackend& b : day.backends)
    backends.emplace_back(s.machines[static_cast<std::size_t>(b.machine)], b.zone, b.cell, b.speed);
  proxies.resize(day.proxy_zones.size());
  for (std::size_t p = 0; p < proxies.size(); ++p) proxies[p].zone = day.proxy_zones[p];
}

std::uint32_t State::NewTry() {
  std::uint32_t slot = 0;
  if (free_tries.empty()) {
    slot = static_cast<std::uint32_t>(tries.size());
    tries.emplace_back();
  } else {
    slot = free_tries.back();
    free_tries.pop_back();
  }
  Try& t = tries[slot];
  const std::uint32_t generation = t.generation + 1;
  t = Try();
  t.generation = generation;
  t.holds = 1;
  return slot;
}

void State::Let(std::uint32_t slot) {
  if (--tries[slot].holds == 0) free_tries.push_back(slot);
}

}  // namespace copperpoint::simulation
