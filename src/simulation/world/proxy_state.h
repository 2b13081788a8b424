// SPDX-License-Identifier: Apache-2.0
//
// A simulated proxy: its policy, its connections to backends, and what discovery has sent it.
#ifndef COPPERPOINT_SIMULATION_WORLD_PROXY_STATE_H_
#define COPPERPOINT_SIMULATION_WORLD_PROXY_STATE_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <deque>
#include <memory>

#include "simulation/core/event_queue.h"
#include "simulation/policies/policy.h"
#include "simulation/world/client_retry_accuracy.h"

namespace copperpoint::simulation {

// A proxy's connections to one backend.
struct ConnectionPool {
  int idle = 0;
  int open = 0;                   // including the idle ones
  std::uint32_t incarnation = 0;  // of the backend when the connections were opened
  Micros last_used = 0;
};

// What discovery has sent to a proxy.
struct Subscription {
  std::size_t revision = 0;     // position in discovery's change log up to which changes have been sent
  bool active = false;          // the proxy has polled and gets updates
  bool update_pending = false;  // an update is on its way
  bool overdue = false;  // no poll within the maximum interval: all changes count as known to the proxy
  Micros last_poll = 0;
  boost::unordered_flat_map<std::uint32_t, Micros> known_starts;  // by backend: start that it was sent
};

// A proxy, running or not. `incarnation` counts its starts.
struct ProxyState {
  std::unique_ptr<Policy> policy;
  int zone = 0;
  std::uint32_t incarnation = 0;
  bool running = false;
  bool draining = false;
  std::deque<Event> events;  // not yet handled by the policy
  bool handling_event = false;
  ClientRetryAccuracy retry_accuracy;
  boost::unordered_flat_map<std::uint32_t, ConnectionPool> connections;  // by backend
  Subscription subscription;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_PROXY_STATE_H_
