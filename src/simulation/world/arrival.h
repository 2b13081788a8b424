// SPDX-License-Identifier: Apache-2.0
//
// An arrival: the first request that a client sends for a logical request.
#ifndef COPPERPOINT_SIMULATION_WORLD_ARRIVAL_H_
#define COPPERPOINT_SIMULATION_WORLD_ARRIVAL_H_

#include <cstdint>

#include "simulation/core/event_queue.h"

namespace copperpoint::simulation {

struct Arrival {
  Micros at = 0;                    // when the client sends it
  std::uint16_t request_class = 0;  // index into the scenario's classes
  std::uint16_t tenant = 0;         // index into the scenario's tenants
  std::uint16_t zone = 0;           // of the client
  bool follows_retry_after = false;
  bool over_quota = false;      // its tenant is beyond its quota
  std::uint64_t key = 0;        // 0: none
  float work_ms = 0;            // on a core of speed 1
  float estimated_work_ms = 0;  // the estimate that the proxy gets; 0: none
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_ARRIVAL_H_
