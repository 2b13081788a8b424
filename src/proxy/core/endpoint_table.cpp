// SPDX-License-Identifier: Apache-2.0
#include "proxy/core/endpoint_table.h"

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "decision/log_names.h"
#include "log/log.h"

namespace copperpoint::proxy {
namespace {

// Zones that the settings don't name have indices from here on, derived from their names.
constexpr int kFirstUnknownZone = 0x10000;
constexpr std::uint64_t kUnknownZoneMask = 0x3fffffff;

void LogList(const EndpointList& list, EndpointUpdateKind kind) {
  log::Global().Debug("list_taken", {{"kind", WordFor(kind)},
                                     {"revision", static_cast<std::int64_t>(list.revision)},
                                     {"members", static_cast<std::int64_t>(list.endpoints.size())}});
}

void LogMember(const DiscoveredEndpoint& member, BackendId backend) {
  log::Global().Debug("server_listed", {{"server", backend},
                                        {"id", member.id},
                                        {"zone", member.zone},
                                        {"kind", member.kind},
                                        {"state", WordFor(member.state)},
                                        {"up_since_ms", member.up_since_unix_ms}});
}

}  // namespace

EndpointTable::EndpointTable(Options options, const ModuleClock& clock, BackendPool& backends,
                             EventSink& events)
    : options_(std::move(options)), clock_(clock), backends_(backends), events_(events) {}

void EndpointTable::Apply(const EndpointList& list, EndpointUpdateKind kind) {
  backend_ids_.Assign(list.endpoints);
  if (kind != EndpointUpdateKind::kIncremental) RetireUnlisted(list);
  EndpointUpdate update;
  update.kind = kind;
  LogList(list, kind);
  for (const DiscoveredEndpoint& member : list.endpoints) {
    const BackendId backend = backend_ids_.IdOf(member.id);
    LogMember(member, backend);
    update.endpoints.push_back(ToEndpoint(member));
    ApplyAddress(member, backend);
  }
  RecordRemovals(list, kind);
  events_.Dispatch(std::move(update));
  ForgetLongRemoved();
}

void EndpointTable::RetireUnlisted(const EndpointList& list) {
  std::unordered_set<BackendId> listed;
  for (const DiscoveredEndpoint& member : list.endpoints) listed.insert(backend_ids_.IdOf(member.id));
  backends_.DrainAllExcept(listed);
}

Endpoint EndpointTable::ToEndpoint(const DiscoveredEndpoint& member) const {
  Endpoint endpoint;
  endpoint.backend = backend_ids_.IdOf(member.id);
  endpoint.zone = ZoneIndex(member.zone);
  endpoint.kind = MachineKindIndex(member.kind);
  endpoint.cell = member.cell;
  endpoint.state = member.state;
  endpoint.weight = member.weight;
  endpoint.up_since = clock_.FromUnix(member.up_since_unix_ms);
  return endpoint;
}

void EndpointTable::ApplyAddress(const DiscoveredEndpoint& member, BackendId backend) {
  if (member.state == EndpointState::kReady) {
    backends_.SetEndpoint(backend, member.address, member.up_since_unix_ms);
  } else {
    backends_.DrainBackend(backend);
  }
}

void EndpointTable::RecordRemovals(const EndpointList& list, EndpointUpdateKind kind) {
  const auto now = Steady::now();
  std::unordered_set<std::string_view> present;
  for (const DiscoveredEndpoint& member : list.endpoints) {
    if (member.state == EndpointState::kRemoved) {
      removed_since_.try_emplace(member.id, now);
    } else {
      present.insert(member.id);
      removed_since_.erase(member.id);
    }
  }
  if (kind == EndpointUpdateKind::kIncremental) return;
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

// One past the last for a kind that the settings don't name.
int EndpointTable::MachineKindIndex(const std::string& name) const {
  const auto found = std::find(options_.machine_kinds.begin(), options_.machine_kinds.end(), name);
  return static_cast<int>(found - options_.machine_kinds.begin());
}

}  // namespace copperpoint::proxy
