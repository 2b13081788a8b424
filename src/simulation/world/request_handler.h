// SPDX-License-Identifier: Apache-2.0
//
// Requests at their proxies: receives them, completes them as served, rejected or failed, and checks that
// each has a final response in time.
#ifndef COPPERPOINT_SIMULATION_WORLD_REQUEST_HANDLER_H_
#define COPPERPOINT_SIMULATION_WORLD_REQUEST_HANDLER_H_

#include <cstdint>
#include <optional>

#include "simulation/world/client_population.h"
#include "simulation/world/proxy_runtime.h"
#include "simulation/world/world.h"

namespace copperpoint::simulation {

class RequestHandler {
 public:
  RequestHandler(World& world, ProxyRuntime& proxies, ClientPopulation& clients);

  // The request in the slot reaches its proxy.
  void OnReceived(std::uint32_t slot);
  // The policy decides to reject or fail a request. Ignored if the request already has its final response.
  void Reject(std::uint32_t proxy, const RejectRequest& action);
  void Fail(std::uint32_t proxy, const FailRequest& action);
  // A backend has served the request.
  void OnServed(std::uint32_t slot);
  // The response slack after the request's deadline has passed.
  void OnResponseOverdue(std::uint32_t slot);
  // Completes all requests of a proxy that stopped as lost.
  void OnProxyStopped(std::uint32_t proxy);

  // The slot of the request with this id, if the current incarnation of the proxy has received it; nothing
  // otherwise.
  std::optional<std::uint32_t> SlotOf(std::uint32_t proxy, RequestId id) const;
  // Whether the request is idempotent, and whether one of its attempts may have been executed.
  AttemptHistory HistoryOf(const ClientRequest& request) const;

 private:
  void Complete(std::uint32_t slot, RequestResult result, const char* reason, Duration retry_after);
  void LogReceived(std::uint32_t proxy, const RequestReceived& event);
  void LogCompleted(std::uint32_t slot, const char* result, const char* reason);
  bool MeasuresRetryDetection() const;
  void DetectClientRetry(ClientRequest* request, const RequestReceived& event);

  World& world_;
  ProxyRuntime& proxies_;
  ClientPopulation& clients_;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_REQUEST_HANDLER_H_
