// SPDX-License-Identifier: Apache-2.0
//
// Turns discovery's endpoint lists into updates for the Balancer and addresses for the connection pool.
#ifndef COPPERPOINT_PROXY_CORE_ENDPOINT_TABLE_H_
#define COPPERPOINT_PROXY_CORE_ENDPOINT_TABLE_H_

#include <chrono>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "copperpoint/balancer.h"
#include "proxy/clock.h"
#include "proxy/core/event_sink.h"
#include "proxy/discovery/endpoints.h"
#include "proxy/upstream/backend_pool.h"

namespace copperpoint::proxy {

// Owns the backend ids and the removal time of each removed backend. Discovery never reuses an id, so that a
// backend's data is dropped once the backend has been removed for the retention time.
class EndpointTable {
 public:
  struct Options {
    std::vector<std::string> zones, machine_kinds;  // names, in the order of the Balancer's indices
    std::chrono::milliseconds removed_retention{900'000};
  };

  EndpointTable(Options options, const BalancerClock& clock, BackendPool& backends, EventSink& events);

  // Sets the addresses of the listed backends, drains those that the list removes, and dispatches the update.
  void Apply(const EndpointList& list, EndpointUpdateKind kind);
  void set_removed_retention(std::chrono::milliseconds retention) { options_.removed_retention = retention; }

  // @return nullopt if no list has contained the id, or the backend's data has been dropped.
  std::optional<BackendId> Find(const std::string& id) const;
  std::unordered_map<BackendId, std::string> IdsByBackend() const;

 private:
  void RetireUnlisted(const EndpointList& list);
  Endpoint ToEndpoint(const DiscoveredEndpoint& member) const;
  void ApplyAddress(const DiscoveredEndpoint& member, BackendId backend);
  void RecordRemovals(const EndpointList& list, EndpointUpdateKind kind);
  void ForgetLongRemoved();
  int ZoneIndex(const std::string& name) const;
  int MachineKindIndex(const std::string& name) const;

  Options options_;
  const BalancerClock& clock_;
  BackendPool& backends_;
  EventSink& events_;
  BackendIds backend_ids_;
  std::unordered_map<std::string, Steady::time_point> removed_since_;  // by discovery id
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_CORE_ENDPOINT_TABLE_H_
