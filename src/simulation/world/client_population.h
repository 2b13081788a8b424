// SPDX-License-Identifier: Apache-2.0
//
// The clients, with their first requests, timeouts and retries, and the front end that distributes requests
// over the proxies.
#ifndef COPPERPOINT_SIMULATION_WORLD_CLIENT_POPULATION_H_
#define COPPERPOINT_SIMULATION_WORLD_CLIENT_POPULATION_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "simulation/world/arrival_process.h"
#include "simulation/world/world.h"

namespace copperpoint::simulation {

// How a request ended at its proxy; kLost: the proxy stopped or crashed before its response.
enum class RequestResult { kServed, kRejected, kFailed, kLost };

class ClientPopulation {
 public:
  // `deliver` passes a request to its proxy, which is running then.
  ClientPopulation(World& world, std::uint64_t seed, std::function<void(std::uint32_t slot)> deliver);

  void Start();  // schedules the first arrival
  void OnArrival();
  // A request reaches the front end, which chooses a proxy.
  void OnSend(std::uint32_t slot);
  // The client gives a request up, unless it already has the response.
  void OnTimeout(std::uint32_t slot);
  // The proxy has sent its final response, or has stopped. `retry_after`: zero if it sends none.
  void OnResponse(std::uint32_t slot, RequestResult result, Duration retry_after);
  // From now on the front end sends requests to the proxy, or not.
  void OnFrontEndUpdate(std::uint32_t proxy, bool up);

  // From now on this share of the new clients gives each request up after `timeout`, and retries at once.
  void SetShortTimeouts(double share, Micros timeout);

 private:
  void ScheduleNextArrival();
  double ValueOf(const Arrival& arrival) const;
  void SetDeadline(ClientRequest* request, Micros sent) const;
  void Deliver(std::uint32_t slot, std::uint32_t proxy);
  void TryAnotherProxy(std::uint32_t slot);
  std::optional<std::uint32_t> ChooseProxy(int zone);
  bool MayRetry(const ClientRequest& request, RequestResult result) const;
  void Retry(std::uint32_t slot, RequestResult result, Micros received, Duration retry_after);
  Micros Backoff(const ClientRequest& request, Duration retry_after);

  World& world_;
  ArrivalProcess arrivals_;
  Random random_;
  std::function<void(std::uint32_t)> deliver_;
  std::optional<Arrival> next_arrival_;
  double short_timeout_share_ = 0;
  Micros short_timeout_ = 0;
  std::vector<std::vector<std::uint32_t>> front_end_proxies_;  // by zone: those that the front end sends to
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_CLIENT_POPULATION_H_
