// SPDX-License-Identifier: Apache-2.0
//
// One request that a client sends to a proxy, the first of its logical request or a retry, and the attempts
// that the proxy makes for it.
#ifndef COPPERPOINT_SIMULATION_WORLD_CLIENT_REQUEST_H_
#define COPPERPOINT_SIMULATION_WORLD_CLIENT_REQUEST_H_

#include <boost/container/small_vector.hpp>
#include <cstdint>

#include "simulation/core/event_queue.h"
#include "simulation/world/arrival.h"
#include "simulation/world/client_retry_accuracy.h"

namespace copperpoint::simulation {

struct Attempt {
  std::uint32_t backend = 0;
  std::uint32_t incarnation = 0;  // of the backend
  Micros sent = 0;
  bool in_flight = true;
  bool may_have_run = true;
  bool connected = false;  // it has a connection
  float executed_ms = 0;   // work that the backend started to do
};

struct ClientRequest {
  std::uint32_t generation = 0;  // of the slot, to tell its requests apart
  std::int32_t references = 0;   // the slot is free at 0
  Arrival arrival;               // of the first request
  Micros client_deadline = 0;    // over all retries
  int retries_left = 0;
  Micros short_timeout = 0;  // of a client with short timeouts; 0: as usual
  std::uint32_t proxy = 0;
  std::uint32_t proxy_incarnation = 0;
  Micros received = 0;  // by the proxy
  Micros deadline = 0;  // of this request
  bool reached_proxy = false;
  bool has_response = false;  // the proxy's final one
  bool client_done = false;   // the client has the response, or gave the request up
  std::uint8_t executions = 0;
  std::uint8_t refused_connections = 0;
  std::uint64_t visited_proxies = 0;  // bit set of the first 64, over all retries
  DetectedRequest detected;
  boost::container::small_vector<Attempt, 2> attempts;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_CLIENT_REQUEST_H_
