// SPDX-License-Identifier: Apache-2.0
//
// Probes, by which policies query the load of backends.
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

  // Sends a probe from the proxy to the backend.
  void Send(std::uint32_t proxy, std::uint32_t backend);
  // The backend answers the probe without queueing it. A backend that is paused or not up does not answer.
  void OnReceived(std::uint32_t proxy, std::uint64_t backend_and_incarnation);
  void OnResponse(std::uint32_t proxy, std::uint64_t index);

 private:
  struct Response {
    std::uint32_t proxy_incarnation = 0;
    std::uint32_t backend = 0;
    int in_flight = 0;      // requests running or queued
    double latency_ms = 0;  // estimate for the next request
  };

  std::uint64_t NewResponse();

  World& world_;
  const BackendRuntime& backends_;
  std::vector<Response> responses_;  // on their way; an event refers to one by its index
  std::vector<std::uint64_t> free_responses_;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_PROBE_HANDLER_H_
