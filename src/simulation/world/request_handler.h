// SPDX-License-Identifier: Apache-2.0
//
// Requests at their proxies: they are received, answered, rejected or failed, and must have a final response
// in time.
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

  // The request reaches its proxy.
  void OnReceived(std::uint32_t slot);
  void Reject(std::uint32_t proxy, const RejectRequest& action);
  void Fail(std::uint32_t proxy, const FailRequest& action);
  // A backend served it.
  void OnServed(std::uint32_t slot);
  // The slack after the request's deadline is over.
  void OnResponseOverdue(std::uint32_t slot);
  // The requests of a proxy that stopped are lost.
  void OnProxyStopped(std::uint32_t proxy);

  // The slot of a request that this incarnation of the proxy has received; nothing if there is none of that
  // id.
  std::optional<std::uint32_t> SlotOf(std::uint32_t proxy, RequestId id) const;
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
