// SPDX-License-Identifier: Apache-2.0
//
// A request that a client sends to a proxy, either the first of its logical request or a client retry, and
// the attempts that the proxy makes for it.
#ifndef COPPERPOINT_SIMULATION_WORLD_CLIENT_REQUEST_H_
#define COPPERPOINT_SIMULATION_WORLD_CLIENT_REQUEST_H_

#include <boost/container/small_vector.hpp>
#include <cstdint>

#include "simulation/core/event_queue.h"
#include "simulation/world/arrival.h"
#include "simulation/world/client_retry_accuracy.h"

namespace copperpoint::simulation {

// An attempt to serve a request at one backend.
struct Attempt {
  std::uint32_t backend = 0;
  std::uint32_t incarnation = 0;  // of the backend
  Micros sent = 0;
  bool in_flight = true;
  bool may_have_run = true;
  bool connected = false;  // it uses a connection of the proxy's pool
  float executed_ms = 0;   // work of its job, if the backend started it
};

struct ClientRequest {
  std::uint32_t generation = 0;  // counts the requests of this slot, to tell them apart
  std::int32_t references = 0;   // the slot is free at 0
  Arrival arrival;               // of the first request
  Micros client_deadline = 0;    // over all client retries
  int retries_left = 0;          // client retries
  Micros short_timeout = 0;      // of FaultKind::kShortTimeouts; 0: not affected
  std::uint32_t proxy = 0;
  std::uint32_t proxy_incarnation = 0;
  Micros received = 0;  // by the proxy
  Micros deadline = 0;  // of this request
  bool reached_proxy = false;
  bool has_response = false;             // the proxy's final one
  bool client_done = false;              // the client has the response, or has given the request up
  std::uint8_t executions = 0;           // jobs started, if the request is not idempotent
  std::uint8_t refused_connections = 0;  // proxies that did not accept it
  std::uint64_t visited_proxies = 0;     // bit set by proxy index below 64, over all client retries
  DetectedRequest detected;
  boost::container::small_vector<Attempt, 2> attempts;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_CLIENT_REQUEST_H_
