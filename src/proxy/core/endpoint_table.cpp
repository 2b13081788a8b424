// SPDX-License-Identifier: Apache-2.0
#include "proxy/core/endpoint_table.h"

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "decision/log_names.h"
#include "log/event_names.h"
#include "log/log.h"

namespace copperpoint::proxy {
namespace {

// Zones that the settings don't name get an index from this one on, derived from a hash of the name.
constexpr int kFirstUnknownZone = 0x10000;
constexpr std::uint64_t kUnknownZoneMask = 0x3fffffff;

void LogList(const EndpointList& list, EndpointUpdateKind kind) {
  log::Global().Debug(log::events::kEndpointListReceived,
                      {{log::fields::kKind, LogName(kind)},
                       {"revision", static_cast<std::int64_t>(list.revision)},
                       {log::fields::kEndpoints, static_cast<std::int64_t>(list.endpoints.size())}});
}

void LogEndpoint(const DiscoveredEndpoint& endpoint, BackendId backend) {
  log::Global().Debug(log::events::kEndpointListed, {{log::fields::kBackend, backend},
                                                     {log::fields::kId, endpoint.id},
                                                     {"zone", endpoint.zone},
                                                     {log::fields::kKind, endpoint.kind},
                                                     {log::fields::kState, LogName(endpoint.state)},
                                                     {log::fields::kUpSinceMs, endpoint.up_since_unix_ms}});
}

}  // namespace

EndpointTable::EndpointTable(Options options, const BalancerClock& clock, BackendPool& backends,
                             EventSink& events)
    : options_(std::move(options)), clock_(clock), backends_(backends), events_(events) {}

void EndpointTable::Apply(const EndpointList& list, EndpointUpdateKind kind) {
  backend_ids_.Assign(list.endpoints);
  if (ListsAllEndpoints(kind)) RetireUnlisted(list);
  EndpointUpdate update;
  update.kind = kind;
  LogList(list, kind);
  for (const DiscoveredEndpoint& endpoint : list.endpoints) {
    const BackendId backend = backend_ids_.IdOf(endpoint.id);
    LogEndpoint(endpoint, backend);
    update.endpoints.push_back(ToEndpoint(endpoint));
    ApplyAddress(endpoint, backend);
  }
  RecordRemovals(list, kind);
  events_.Dispatch(std::move(update));
  ForgetLongRemoved();
}

void EndpointTable::RetireUnlisted(const EndpointList& list) {
  std::unordered_set<BackendId> listed;
  for (const DiscoveredEndpoint& endpoint : list.endpoints) listed.insert(backend_ids_.IdOf(endpoint.id));
  backends_.DrainAllExcept(listed);
}

Endpoint EndpointTable::ToEndpoint(const DiscoveredEndpoint& discovered) const {
  Endpoint endpoint;
  endpoint.backend = backend_ids_.IdOf(discovered.id);
  endpoint.zone = ZoneIndex(discovered.zone);
  endpoint.kind = MachineKindIndex(discovered.kind);
  endpoint.cell = discovered.cell;
  endpoint.state = discovered.state;
  endpoint.weight = discovered.weight;
  endpoint.up_since = clock_.FromUnix(discovered.up_since_unix_ms);
  return endpoint;
}

void EndpointTable::ApplyAddress(const DiscoveredEndpoint& endpoint, BackendId backend) {
  if (endpoint.state == EndpointState::kReady) {
    backends_.SetEndpoint(backend, endpoint.address, endpoint.up_since_unix_ms);
  } else {
    backends_.DrainBackend(backend);
  }
}

void EndpointTable::RecordRemovals(const EndpointList& list, EndpointUpdateKind kind) {
  const auto now = Steady::now();
  std::unordered_set<std::string_view> present;
  for (const DiscoveredEndpoint& endpoint : list.endpoints) {
    if (endpoint.state == EndpointState::kRemoved) {
      removed_since_.try_emplace(endpoint.id, now);
    } else {
      present.insert(endpoint.id);
      removed_since_.erase(endpoint.id);
    }
  }
  if (!ListsAllEndpoints(kind)) return;
  for (const auto& [id, backend] : backend_ids_.all()) {
    if (!present.contains(id)) removed_since_.try_emplace(id, now);
  }
}

void EndpointTable::ForgetLongRemoved() {
  const auto forgotten_before = Steady::now() - options_.removed_retention;
  std::erase_if(removed_since_, [&](const auto& removed) {
    const auto& [id, since] = removed;
    if (since > forgotten_before) return false;
    backends_.RemoveBackend(backend_ids_.IdOf(id));
    backend_ids_.Release(id);
    return true;
  });
}

std::optional<BackendId> EndpointTable::Find(const std::string& id) const {
  const auto found = backend_ids_.all().find(id);
  if (found == backend_ids_.all().end()) return std::nullopt;
  return found->second;
}

std::unordered_map<BackendId, std::string> EndpointTable::IdsByBackend() const {
  std::unordered_map<BackendId, std::string> ids;
  for (const auto& [id, backend] : backend_ids_.all()) ids.emplace(backend, id);
  return ids;
}

int EndpointTable::ZoneIndex(const std::string& name) const {
  const auto found = std::find(options_.zones.begin(), options_.zones.end(), name);
  if (found != options_.zones.end()) return static_cast<int>(found - options_.zones.begin());
  return static_cast<int>(kFirstUnknownZone + (StableHash(name) & kUnknownZoneMask));
}

// A kind that the settings don't name gets the index after the last one.
int EndpointTable::MachineKindIndex(const std::string& name) const {
  const auto found = std::find(options_.machine_kinds.begin(), options_.machine_kinds.end(), name);
  return static_cast<int>(found - options_.machine_kinds.begin());
}

}  // namespace copperpoint::proxy
