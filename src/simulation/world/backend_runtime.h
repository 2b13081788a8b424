// SPDX-License-Identifier: Apache-2.0
//
// Runs the jobs of attempts at the backends, and stops and starts backends.
#ifndef COPPERPOINT_SIMULATION_WORLD_BACKEND_RUNTIME_H_
#define COPPERPOINT_SIMULATION_WORLD_BACKEND_RUNTIME_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "simulation/world/world.h"

namespace copperpoint::simulation {

class BackendRuntime {
 public:
  // Sends the response to the attempt with that index of the request in the slot.
  using RespondFn = std::function<void(std::uint32_t slot, std::uint32_t index, AttemptOutcome outcome)>;

  // `on_crash` is called when a backend crashes by the poison request that it ran.
  BackendRuntime(World& world, RespondFn respond, std::function<void(std::uint32_t backend)> on_crash);

  // An attempt arrives: it runs, waits, or is rejected.
  void Enqueue(std::uint32_t slot, std::uint32_t index, const Job& job);
  // An attempt arrives at an unresponsive machine: it is answered when the machine is back.
  void EnqueueUnresponsive(std::uint32_t slot, std::uint32_t index);
  // The proxy no longer waits for the attempt. True if its job will not run to its end.
  bool Cancel(std::uint32_t slot, std::uint32_t index);
  // Starts queued jobs while slots are free.
  void RunQueued(std::uint32_t backend);
  void OnWorkCompleted(std::uint32_t backend, std::uint64_t job_and_incarnation);

  // The process stops, and its connections are reset; or the machine becomes unresponsive.
  void Stop(std::uint32_t backend, Backend::Health health);
  void Start(std::uint32_t backend);

  // Milliseconds that the next request would take at the backend, by its recent ones.
  double RecentLatencyMs(std::uint32_t backend) const;

 private:
  struct AttemptRef {
    std::uint32_t slot = 0;
    std::uint32_t index = 0;
  };

  void Run(std::uint32_t backend, const StartedJob& started);

  World& world_;
  RespondFn respond_;
  std::function<void(std::uint32_t)> on_crash_;
  std::vector<std::vector<AttemptRef>> unresponsive_;  // by backend: attempts lost in an unresponsive machine
  std::vector<double> recent_ms_;                      // by backend: latency per request there
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_BACKEND_RUNTIME_H_
