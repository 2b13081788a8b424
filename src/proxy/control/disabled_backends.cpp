// SPDX-License-Identifier: Apache-2.0
#include "proxy/control/disabled_backends.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>
#include <vector>

#include "log/event_names.h"

namespace copperpoint::proxy {
namespace {

constexpr std::size_t kMaxIdBytes = 256;

void InsertOrErase(std::set<std::string>& ids, const std::string& id, bool insert) {
  if (insert) {
    ids.insert(id);
  } else {
    ids.erase(id);
  }
}

}  // namespace

DisabledBackends::DisabledBackends(std::string file, log::Logger& log) : file_(std::move(file)), log_(log) {
  ReloadIfChanged();
}

EndpointList DisabledBackends::Apply(EndpointList list, bool snapshot) {
  if (snapshot) listed_.clear();
  revision_ = list.revision;
  for (DiscoveredEndpoint& endpoint : list.endpoints) {
    if (endpoint.state == EndpointState::kRemoved) {
      listed_.erase(endpoint.id);
      continue;
    }
    listed_[endpoint.id] = endpoint;
    if (ids_.contains(endpoint.id)) endpoint.state = EndpointState::kDraining;
  }
  return list;
}

EndpointList DisabledBackends::ListedEndpoints() const {
  EndpointList list{revision_, /*complete=*/true, {}};
  list.endpoints.reserve(listed_.size());
  for (const auto& [id, endpoint] : listed_) list.endpoints.push_back(endpoint);
  return list;
}

EndpointList DisabledBackends::Replace(std::set<std::string> ids, bool from_file) {
  std::vector<std::string> changed;
  std::set_symmetric_difference(ids.begin(), ids.end(), ids_.begin(), ids_.end(),
                                std::back_inserter(changed));
  ids_ = std::move(ids);
  EndpointList changes;
  changes.revision = revision_;
  for (const std::string& id : changed) {
    const bool disabled = ids_.contains(id);
    log_.Info(disabled ? log::events::kBackendDisabled : log::events::kBackendEnabled,
              {{"backend", id}, {"by", "operator"}, {"from_file", from_file}});
    const auto found = listed_.find(id);
    if (found == listed_.end()) continue;
    changes.endpoints.push_back(found->second);
    if (disabled) changes.endpoints.back().state = EndpointState::kDraining;
  }
  return changes;
}

DisabledBackends::ChangeResult DisabledBackends::Change(const std::string& id, bool disable,
                                                        EndpointList* changes) {
  if (!listed_.contains(id) && !ids_.contains(id)) return ChangeResult::kUnknownBackend;
  if (id.size() > kMaxIdBytes) return ChangeResult::kNotStored;
  if (disable && ids_.size() >= kMaxDisabledBackends) return ChangeResult::kNotStored;
  std::set<std::string> ids = ids_;
  if (file_.configured()) {
    const DisabledFile::Lock lock(file_);
    if (!lock.acquired()) return ChangeResult::kNotStored;
    ids = file_.Load().value_or(ids);  // another process may have changed the file
    InsertOrErase(ids, id, disable);
    if (!file_.Store(ids)) return ChangeResult::kNotStored;
    file_version_ = file_.Version();
  } else {
    InsertOrErase(ids, id, disable);
  }
  *changes = Replace(std::move(ids), /*from_file=*/false);
  return ChangeResult::kDone;
}

DisabledBackends::ChangeResult DisabledBackends::Disable(const std::string& id, EndpointList* changes) {
  return Change(id, /*disable=*/true, changes);
}

DisabledBackends::ChangeResult DisabledBackends::Enable(const std::string& id, EndpointList* changes) {
  return Change(id, /*disable=*/false, changes);
}

EndpointList DisabledBackends::ReloadIfChanged() {
  if (!file_.configured()) return {};
  std::string version = file_.Version();
  if (version == file_version_) return {};
  file_version_ = std::move(version);
  if (file_version_ == DisabledFile::kAbsent) return {};
  auto ids = file_.Load();
  if (!ids) {
    log_.Error(log::events::kDisabledFileIgnored,
               {{"file", file_.path()}, {"reason", "unreadable, or no list of ids"}});
    return {};
  }
  return Replace(std::move(*ids), /*from_file=*/true);
}

}  // namespace copperpoint::proxy
