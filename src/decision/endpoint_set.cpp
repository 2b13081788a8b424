// SPDX-License-Identifier: Apache-2.0
#include "decision/endpoint_set.h"

namespace copperpoint {

EndpointSet::Changes EndpointSet::Apply(const EndpointUpdate& update, TimePoint now) {
  Changes changes;
  if (ListsAllEndpoints(update.kind)) MarkUnlistedRemoved(update, now, &changes);
  changes.listed.reserve(update.endpoints.size());
  for (const Endpoint& endpoint : update.endpoints) {
    const bool added = !index_.contains(endpoint.backend);
    if (added) index_[endpoint.backend] = Add(now);
    const BackendIndex index = index_[endpoint.backend];
    BackendState& backend = backends_[index];
    const EndpointState before = backend.endpoint.state;
    changes.listed.push_back({index, added || endpoint.up_since != backend.endpoint.up_since});
    backend.endpoint = endpoint;
    backend.endpoint.state = before;
    SetState(backend, endpoint.state, now, &changes);
  }
  UpdateRing(update);
  return changes;
}

void EndpointSet::MarkUnlistedRemoved(const EndpointUpdate& snapshot, TimePoint now, Changes* changes) {
  ++snapshot_generation_;
  for (const Endpoint& endpoint : snapshot.endpoints) {
    if (BackendState* backend = Find(endpoint.backend)) backend->snapshot_generation = snapshot_generation_;
  }
  for (BackendState& backend : backends_) {
    if (backend.snapshot_generation != snapshot_generation_)
      SetState(backend, EndpointState::kRemoved, now, changes);
  }
}

void EndpointSet::SetState(BackendState& backend, EndpointState state, TimePoint now, Changes* changes) {
  if (state == EndpointState::kRemoved && backend.endpoint.state != state) {
    backend.removed_at = now;
    removed_.emplace_back(now, IndexOf(backend));
  }
  const int change = (state == EndpointState::kReady) - backend.ready();
  changes->ready += change;
  changes->ejected += backend.health.ejected ? change : 0;
  backend.endpoint.state = state;
}

BackendState* EndpointSet::Find(BackendId id) {
  const auto found = index_.find(id);
  return found == index_.end() ? nullptr : &backends_[found->second];
}

// Returns the record for a new backend: that of one removed longer than kRemovedRetention ago, or a new one.
BackendIndex EndpointSet::Add(TimePoint now) {
  BackendIndex index = 0;
  if (!TakeExpiredRecord(now, &index)) {
    index = static_cast<BackendIndex>(backends_.size());
    backends_.emplace_back();
  }
  backends_[index].endpoint.state = EndpointState::kRemoved;
  backends_[index].removed_at = now;
  removed_.emplace_back(now, index);
  return index;
}

bool EndpointSet::TakeExpiredRecord(TimePoint now, BackendIndex* index) {
  const auto stale = [this](const auto& removed) {
    const BackendState& backend = backends_[removed.second];
    return backend.endpoint.state != EndpointState::kRemoved || backend.removed_at != removed.first;
  };
  while (!removed_.empty() && stale(removed_.front())) removed_.pop_front();
  if (removed_.empty()) return false;
  const auto [removed_at, oldest] = removed_.front();
  if (now - removed_at <= kRemovedRetention || backends_[oldest].outstanding_attempts != 0) return false;
  removed_.pop_front();
  index_.erase(backends_[oldest].endpoint.backend);
  ring_.Remove(oldest);
  backends_[oldest] = BackendState();
  *index = oldest;
  return true;
}

void EndpointSet::UpdateRing(const EndpointUpdate& update) {
  const auto id_of = [this](BackendIndex index) { return backends_[index].endpoint.backend; };
  if (!ListsAllEndpoints(update.kind) && update.endpoints.size() <= kMaxRingInsertions) {
    for (const Endpoint& endpoint : update.endpoints) ring_.Insert(index_[endpoint.backend], id_of);
  } else {
    ring_.Rebuild(backends_.size(), id_of);
  }
}

void EndpointSet::RemoveUnreadyFromRing() {
  ring_.RemoveIf([this](BackendIndex index) { return !backends_[index].ready(); });
}

}  // namespace copperpoint
