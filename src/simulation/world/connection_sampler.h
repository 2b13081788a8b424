// SPDX-License-Identifier: Apache-2.0
//
// Samples at regular intervals how evenly the proxies' connections are spread over the backends.
#ifndef COPPERPOINT_SIMULATION_WORLD_CONNECTION_SAMPLER_H_
#define COPPERPOINT_SIMULATION_WORLD_CONNECTION_SAMPLER_H_

#include "simulation/world/world.h"

namespace copperpoint::simulation {

class ConnectionSampler {
 public:
  explicit ConnectionSampler(World& world) : world_(world) {}
  void Start();     // schedules the first sample
  void OnSample();  // takes a sample, and schedules the next while requests arrive

 private:
  World& world_;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_CONNECTION_SAMPLER_H_
