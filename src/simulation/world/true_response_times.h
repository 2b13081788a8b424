// SPDX-License-Identifier: Apache-2.0
//
// The true response times of backends, which only the oracle policy gets to know.
#ifndef COPPERPOINT_SIMULATION_WORLD_TRUE_RESPONSE_TIMES_H_
#define COPPERPOINT_SIMULATION_WORLD_TRUE_RESPONSE_TIMES_H_

#include <cstdint>

#include "simulation/policies/policy.h"
#include "simulation/world/world.h"

namespace copperpoint::simulation {

// Computes response times from the current state of the world; see BackendTruth.
class TrueResponseTimes : public BackendTruth {
 public:
  explicit TrueResponseTimes(const World& world) : world_(world) {}
  double ResponseTime(std::uint32_t proxy, BackendId backend, double work_ms,
                      std::uint64_t key) const override;

 private:
  const World& world_;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_TRUE_RESPONSE_TIMES_H_
