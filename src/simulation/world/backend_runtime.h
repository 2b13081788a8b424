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
  // Sends the response to the attempt that has the index `index` among those of the request in `slot`.
  using RespondFn = std::function<void(std::uint32_t slot, std::uint32_t index, AttemptOutcome outcome)>;

  // `on_crash` is called when a poison request crashes the backend that runs it.
  BackendRuntime(World& world, RespondFn respond, std::function<void(std::uint32_t backend)> on_crash);

  // Runs, queues or rejects an attempt that has arrived at its backend.
  void Enqueue(std::uint32_t slot, std::uint32_t index, const Job& job);
  // Keeps an attempt that has arrived at an unresponsive machine, to be answered when the machine restarts.
  void EnqueueUnresponsive(std::uint32_t slot, std::uint32_t index);
  // Cancels an attempt for which the proxy no longer waits. Returns true if its job will not run to its end.
  bool Cancel(std::uint32_t slot, std::uint32_t index);
  // Starts queued jobs while slots are free.
  void RunQueued(std::uint32_t backend);
  void OnWorkCompleted(std::uint32_t backend, std::uint64_t job_and_incarnation);

  // Stops the process, which resets its connections, or makes the machine unresponsive.
  void Stop(std::uint32_t backend, Backend::Health health);
  void Start(std::uint32_t backend);

  // Estimated milliseconds that the next request would take at the backend, from the latency of recent ones.
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
  std::vector<std::vector<AttemptRef>> unresponsive_;  // by backend: attempts at an unresponsive machine
  std::vector<double> recent_ms_;  // by backend: smoothed latency, divided by the requests there
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_BACKEND_RUNTIME_H_
