// SPDX-License-Identifier: Apache-2.0
//
// Probes, with which policies ask backends for their load.
#ifndef COPPERPOINT_SIMULATION_WORLD_PROBE_HANDLER_H_
#define COPPERPOINT_SIMULATION_WORLD_PROBE_HANDLER_H_

#include <cstdint>
#include <vector>

#include "simulation/world/backend_runtime.h"
#include "simulation/world/world.h"

namespace copperpoint::simulation {

class ProbeHandler {
 public:
  ProbeHandler(World& world, const BackendRuntime& backends);

  void Send(std::uint32_t proxy, std::uint32_t backend);
  // Answered beside the queue, but not by a backend that is paused or not up: no response comes then.
  void OnReceived(std::uint32_t proxy, std::uint64_t backend_and_incarnation);
  void OnResponse(std::uint32_t proxy, std::uint64_t index);

 private:
  struct Response {
    std::uint32_t proxy_incarnation = 0;
    std::uint32_t backend = 0;
    int in_flight = 0;
    double latency_ms = 0;
  };

  std::uint64_t NewResponse();

  World& world_;
  const BackendRuntime& backends_;
  std::vector<Response> responses_;
  std::vector<std::uint64_t> free_responses_;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_PROBE_HANDLER_H_
