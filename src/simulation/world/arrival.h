// SPDX-License-Identifier: Apache-2.0
//
// One arrival: the first request of a client's logical request.
#ifndef COPPERPOINT_SIMULATION_WORLD_ARRIVAL_H_
#define COPPERPOINT_SIMULATION_WORLD_ARRIVAL_H_

#include <cstdint>

#include "simulation/core/event_queue.h"

namespace copperpoint::simulation {

struct Arrival {
  Micros at = 0;
  std::uint16_t request_class = 0;
  std::uint16_t tenant = 0;
  std::uint16_t zone = 0;
  bool follows_retry_after = false;
  bool over_quota = false;  // its tenant is beyond its quota
  std::uint64_t key = 0;    // 0: none
  float work_ms = 0;
  float estimated_work_ms = 0;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_ARRIVAL_H_
