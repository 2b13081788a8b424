// SPDX-License-Identifier: Apache-2.0
//
// Samples how evenly the proxies' connections are spread over the backends.
#ifndef COPPERPOINT_SIMULATION_WORLD_CONNECTION_SAMPLER_H_
#define COPPERPOINT_SIMULATION_WORLD_CONNECTION_SAMPLER_H_

#include "simulation/world/world.h"

namespace copperpoint::simulation {

class ConnectionSampler {
 public:
  explicit ConnectionSampler(World& world) : world_(world) {}
  void Start();
  void OnSample();

 private:
  World& world_;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_CONNECTION_SAMPLER_H_
