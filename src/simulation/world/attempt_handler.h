// SPDX-License-Identifier: Apache-2.0
//
// The attempts of requests, from the proxy over connections and the network to the backend and back.
#ifndef COPPERPOINT_SIMULATION_WORLD_ATTEMPT_HANDLER_H_
#define COPPERPOINT_SIMULATION_WORLD_ATTEMPT_HANDLER_H_

#include <cstdint>
#include <functional>

#include "simulation/world/backend_runtime.h"
#include "simulation/world/proxy_runtime.h"
#include "simulation/world/request_handler.h"
#include "simulation/world/world.h"

namespace copperpoint::simulation {

class AttemptHandler {
 public:
  // `on_crash` is called when a poison request crashes the backend that runs it.
  AttemptHandler(World& world, ProxyRuntime& proxies, RequestHandler& requests,
                 std::function<void(std::uint32_t backend)> on_crash);

  // Starts an attempt that the proxy's policy decided on. One that must not be sent completes at once, as
  // AttemptOutcome::kNotSent.
  void Start(std::uint32_t proxy, const StartAttempt& action);

  // Events of the attempt that has the index `index` among those of the request in `slot`. In the first two,
  // the second argument also holds whether the connection is new, or the outcome (see EventKind).
  void OnReceived(std::uint32_t slot, std::uint32_t attempt_and_connection);
  void OnResponse(std::uint32_t slot, std::uint32_t attempt_and_outcome);
  void OnConnectFailure(std::uint32_t slot, std::uint32_t index);
  void OnTimeout(std::uint32_t slot, std::uint32_t index);
  void OnCancelled(std::uint32_t slot, std::uint32_t index);

  // Times out the request's attempts in flight, as its deadline has passed. Returns true if it still has no
  // final response.
  bool OnRequestDeadline(std::uint32_t slot);

  BackendRuntime& backends() { return backends_; }

 private:
  bool MayStart(const ClientRequest& request) const;
  void CompleteNotSent(std::uint32_t slot, const StartAttempt& action);
  void ScheduleTimeout(std::uint32_t slot, std::uint32_t index, Duration timeout);
  void Send(std::uint32_t slot, std::uint32_t index);
  void SendOnNewConnection(std::uint32_t slot, std::uint32_t index, ConnectionPool* pool,
                           Micros request_delay);
  void CloseExpiredConnections(Backend* backend, ConnectionPool* pool);
  Job DrawJob(std::uint32_t slot, std::uint32_t index, bool new_connection);
  bool Overloads(std::uint32_t slot, const Attempt& attempt, const Job& job);
  void Respond(std::uint32_t slot, std::uint32_t index, AttemptOutcome outcome);
  void Complete(std::uint32_t slot, std::uint32_t index, AttemptOutcome outcome);
  void LogCompleted(std::uint32_t slot, std::uint32_t index, AttemptOutcome outcome);
  void ReleaseConnection(std::uint32_t proxy, const Attempt& attempt, AttemptOutcome outcome);
  bool KnowsStart(std::uint32_t proxy, std::uint32_t backend) const;

  World& world_;
  ProxyRuntime& proxies_;
  RequestHandler& requests_;
  BackendRuntime backends_;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_ATTEMPT_HANDLER_H_
