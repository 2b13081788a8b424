// SPDX-License-Identifier: Apache-2.0
#include "decision/backend_set_updater.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace copperpoint {

void BackendSetUpdater::OnEndpointUpdate(const EndpointUpdate& update) {
  if (state_.settings.polls_endpoints) state_.poller.OnUpdate(update.kind, state_.now, state_.random);
  if (update.kind == EndpointUpdateKind::kFailed) return;
  const EndpointSet::Changes changes = state_.endpoints.Apply(update, state_.now);
  state_.outlier_detector.OnReadyChanged(changes.ready, changes.ejected);
  for (std::size_t i = 0; i < changes.listed.size(); ++i) {
    const Endpoint& endpoint = update.endpoints[i];
    BackendState& backend = state_.endpoints[changes.listed[i].index];
    backend.in_zone_outage = state_.zone_outages.InOutage(endpoint.zone, state_.now);
    if (changes.listed[i].started && state_.slow_start.CapacityFraction(endpoint, state_.now) < 1)
      state_.slow_start.OnStarted(backend.slow_start, state_.now, state_.random);
  }
  OnBackendSetChanged();
  state_.recheck_queue = true;
}

void BackendSetUpdater::OnStateRestored(const StateRestored& restored) {
  for (const BackendSnapshot& snapshot : restored.backends) {
    BackendState* backend = state_.endpoints.Find(snapshot.backend);
    if (!backend) continue;
    state_.outlier_detector.Restore(backend->health, backend->ready(), snapshot, state_.now);
    if (snapshot.slow_start_work > 0)
      state_.slow_start.Restore(backend->slow_start, snapshot.slow_start_work, state_.now);
  }
  OnBackendSetChanged();
}

void BackendSetUpdater::OnSubsetPosition(const SubsetPosition& position) {
  state_.subset.SetOffset(position.ring_offset);
  RebuildSubset();
}

std::vector<BackendSnapshot> BackendSetUpdater::Export(TimePoint now) {
  std::vector<BackendSnapshot> snapshots;
  for (BackendState& backend : state_.endpoints.backends()) {
    if (backend.endpoint.state == EndpointState::kRemoved) continue;
    BackendSnapshot snapshot{backend.endpoint.backend, backend.health.ejection_multiplier, Duration(0),
                             state_.slow_start.SentWorkMs(backend.slow_start, now)};
    if (backend.health.ejected)
      snapshot.ejection_remaining = std::max(Duration(0), backend.health.ejected_until - now);
    if (snapshot.ejection_multiplier > 0 || snapshot.slow_start_work > 0) snapshots.push_back(snapshot);
  }
  return snapshots;
}

void BackendSetUpdater::OnNoAnswer(BackendState& backend) {
  const int zone = backend.endpoint.zone;
  if (!state_.zone_outages.OnNoAnswer(zone, state_.endpoints.IndexOf(backend), state_.now, state_.random))
    return;
  for (BackendState& other : state_.endpoints.backends()) other.in_zone_outage |= other.endpoint.zone == zone;
  if (state_.MayLog(LogKind::kHealth))
    state_.WriteLog("zone " + std::to_string(zone) + " out of service: none of its backends answers");
  OnBackendSetChanged();
}

void BackendSetUpdater::OnOutcome(BackendState& backend, bool success) {
  if (!state_.outlier_detector.OnOutcome(backend.health, backend.ready(), success, state_.now, state_.random))
    return;
  OnBackendSetChanged();
  // At low traffic ejections are long, and other proxies may need the connections meanwhile.
  if (state_.outlier_detector.low_traffic()) state_.Emit(CloseIdleConnections{backend.endpoint.backend});
  if (state_.MayLog(LogKind::kHealth))
    state_.WriteLog("backend " + std::to_string(backend.endpoint.backend) +
                    " ejected: " + std::to_string(backend.health.failures) + " of " +
                    std::to_string(backend.health.attempts()) + " attempts failed");
}

void BackendSetUpdater::Advance() {
  if (state_.now >= std::min(state_.outlier_detector.next_return_at(), state_.zone_outages.next_return_at()))
    ReturnBackends();
  if (state_.outlier_detector.TakeIntervalEnd(state_.now)) {
    for (BackendState& backend : state_.endpoints.backends()) OutlierDetector::EndInterval(backend.health);
  }
}

void BackendSetUpdater::ReturnBackends() {
  state_.outlier_detector.ResetNextReturn();
  state_.zone_outages.ResetNextReturn();
  state_.recheck_queue = true;
  for (BackendState& backend : state_.endpoints.backends()) {
    backend.in_zone_outage = state_.zone_outages.UpdateReturn(backend.endpoint.zone, state_.now);
    if (state_.outlier_detector.ReturnIfDue(backend.health, backend.ready(), state_.now) &&
        state_.MayLog(LogKind::kHealth))
      state_.WriteLog("backend " + std::to_string(backend.endpoint.backend) + " returned to service");
  }
  OnBackendSetChanged();
}

void BackendSetUpdater::CountCapacity() {
  BackendSetCapacity capacity;
  for (const BackendState& backend : state_.endpoints.backends()) {
    if (!backend.ready()) continue;
    const double fraction = state_.slow_start.CapacityFraction(backend.endpoint, state_.now);
    capacity.any_warming_up |= fraction < 1;
    capacity.ready += fraction;
    capacity.in_service += backend.health.ejected ? 0 : std::sqrt(fraction);
  }
  state_.capacity = capacity;
}

void BackendSetUpdater::FitToTraffic() {
  const double requests_per_s =
      state_.traffic.received_work_rate() * 1000 / std::max(1e-9, state_.latencies.mean_work_ms());
  state_.outlier_detector.FitInterval(requests_per_s, state_.subset.backends().size());
  if (state_.subset.SetEvaluableBackends(OutlierDetector::EvaluableBackends(requests_per_s))) RebuildSubset();
}

void BackendSetUpdater::OnBackendSetChanged() {
  CountCapacity();
  RebuildSubset();
}

void BackendSetUpdater::RebuildSubset() {
  for (const BackendId backend : state_.subset.Rebuild(state_.endpoints))
    state_.Emit(CloseIdleConnections{backend});
}

}  // namespace copperpoint
