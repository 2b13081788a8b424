// SPDX-License-Identifier: Apache-2.0
//
// What goes wrong, and what operators do: the troubles of the scenario, carried out. Troubles may overlap: a
// machine that is silent stays so until its own trouble ends, and one that is down is not frozen.
#ifndef COPPERPOINT_SIMULATION_WORLD_FATES_H_
#define COPPERPOINT_SIMULATION_WORLD_FATES_H_

#include "simulation/world/crowd.h"
#include "simulation/world/news.h"
#include "simulation/world/service.h"
#include "simulation/world/state.h"
#include "simulation/world/views.h"

namespace copperpoint::simulation {

class Fates {
 public:
  Fates(State& state, std::uint64_t seed, Service& service, News& news, Crowd& crowd, Views& views);

  void Begin();
  void OnTrouble(std::uint64_t trouble, bool begins);
  void OnPause(std::uint32_t backend, std::uint64_t trouble);
  void OnDrainBackend(std::uint32_t backend);
  void OnStopBackend(std::uint32_t backend);
  void OnStartBackend(std::uint32_t backend);
  void OnDrainProxy(std::uint32_t proxy);
  void OnStopProxy(std::uint32_t proxy, bool killed);
  void OnStartProxy(std::uint32_t proxy);
  void Crash(std::uint32_t backend);  // it restarts by itself

 private:
  Micros EndOf(const Trouble& t) const;  // no later than that of the arrivals
  bool Over(const Trouble& t) const;
  void NextPause(std::uint32_t backend, std::uint64_t trouble);
  void Silence(std::uint32_t backend);
  void Return(std::uint32_t backend);
  void Release(const Trouble& t, const std::vector<std::uint32_t>& targets);

  State& s_;
  Random random_;
  Service& service_;
  News& news_;
  Crowd& crowd_;
  Views& views_;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_FATES_H_
