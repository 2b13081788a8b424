// SPDX-License-Identifier: Apache-2.0
//
// The clients, and the front end that spreads them over the proxies: first requests, what becomes of them,
// and client retries.
#ifndef COPPERPOINT_SIMULATION_WORLD_CLIENT_POPULATION_H_
#define COPPERPOINT_SIMULATION_WORLD_CLIENT_POPULATION_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "simulation/world/arrival_process.h"
#include "simulation/world/world.h"

namespace copperpoint::simulation {

// How a request ended at its proxy; kLost: the proxy crashed.
enum class RequestResult { kServed, kRejected, kFailed, kLost };

class ClientPopulation {
 public:
  // `deliver` hands a request to its proxy, which is running.
  ClientPopulation(World& world, std::uint64_t seed, std::function<void(std::uint32_t slot)> deliver);

  void Start();  // schedules the first arrival
  void OnArrival();
  // A request reaches its proxy.
  void OnSend(std::uint32_t slot);
  // The client gives a request up, unless it has the response by now.
  void OnTimeout(std::uint32_t slot);
  // The proxy's final response, or its crash. `retry_after`: zero if the proxy sends none.
  void OnResponse(std::uint32_t slot, RequestResult result, Duration retry_after);
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
