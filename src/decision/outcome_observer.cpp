// SPDX-License-Identifier: Apache-2.0
#include "decision/outcome_observer.h"

#include <cmath>

#include "decision/relative_latency.h"

namespace copperpoint {
namespace {

bool ReflectsBackend(AttemptOutcome outcome) {
  return !(outcome == AttemptOutcome::kCancelled || outcome == AttemptOutcome::kNotSent ||
           outcome == AttemptOutcome::kUnknown);
}

bool IsAnswer(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kSuccess || outcome == AttemptOutcome::kServerError ||
         outcome == AttemptOutcome::kBackendRejected;
}

}  // namespace

void OutcomeObserver::OnAttemptCompleted(const RequestState& request, const AttemptCompleted& completed) {
  const AttemptState& attempt = request.attempts[completed.attempt];
  BackendState& backend = state_.endpoints[attempt.backend];
  state_.concurrency_limit.OnAttemptEnded(attempt.overdue);
  ReleaseBackend(request, completed.outcome, backend);
  if (!ReflectsBackend(completed.outcome)) return;
  const bool success = completed.outcome == AttemptOutcome::kSuccess;
  state_.slow_start.OnOutcome();
  state_.last_outcome = state_.now;
  state_.overload_counts.succeeded += success;
  if (IsAnswer(completed.outcome)) state_.zone_outages.OnAnswer(backend.endpoint.zone, state_.now);
  if (completed.outcome == AttemptOutcome::kConnectFailure) backend_set_.OnNoAnswer(backend);
  if (success) ObserveSuccess(request, backend);
  ObserveLocality(request, success, backend);
  ObserveLatency(request, completed, backend);
  if (success)
    state_.service_time.OnSuccess(request.work_ms, state_.latencies.mean_work_ms(),
                                  completed.duration.count());
  backend_set_.OnOutcome(backend, success);
}

void OutcomeObserver::ReleaseBackend(const RequestState& request, AttemptOutcome outcome,
                                     BackendState& backend) {
  backend.outstanding_work_ms -= request.work_ms;
  if (outcome != AttemptOutcome::kTimeout) backend.last_activity = state_.now;
  if (--backend.outstanding_attempts == 0) backend.outstanding_work_ms = 0;  // no rounding errors remain
}

void OutcomeObserver::ObserveSuccess(const RequestState& request, const BackendState& backend) {
  state_.traffic.OnSuccess(request.work_ms);
  if (state_.slow_start.CapacityFraction(backend.endpoint, state_.now) >= 1)
    state_.slow_start.OnServedWarm(backend.endpoint.kind, request.work_ms);
  const LogicalRequest& logical = request.logical_request;
  if (state_.now <= logical.first_received + state_.ClassOf(request).latency_objective)
    state_.priority.OnServedInTime(request.request_class, request.tenant, request.work_ms,
                                   logical.within_quota);
}

void OutcomeObserver::ObserveLocality(const RequestState& request, bool success,
                                      const BackendState& backend) {
  const ClassSettings& settings = state_.ClassOf(request);
  const bool in_time = success && state_.now <= request.received_at + settings.latency_objective;
  const double loss = in_time ? 0 : success ? 1 - settings.late_weight_fraction : 1;
  state_.zone_locality.OnOutcome(backend.endpoint.zone == state_.settings.zone, loss);
}

void OutcomeObserver::ObserveLatency(const RequestState& request, const AttemptCompleted& completed,
                                     BackendState& backend) {
  const bool timeout = completed.outcome == AttemptOutcome::kTimeout;
  if (!timeout && completed.outcome != AttemptOutcome::kSuccess) return;
  const double latency_ms = completed.duration.count();
  const int request_class = request.request_class;
  if (std::isfinite(latency_ms) && latency_ms >= 0) {
    state_.latencies.OnLatency(request_class, request.work_ms, latency_ms);
    RelativeLatency::Update(backend.latency,
                            latency_ms / state_.latencies.WorkScale(request_class, request.work_ms),
                            state_.latencies.LatencyOf(request_class).mean, state_.now);
  }
  // If the whole zone has not answered since the attempt started, its timeout indicates an outage and not
  // congestion.
  const bool in_outage = timeout && state_.zone_outages.LastAnswer(backend.endpoint.zone) <
                                        request.attempts[completed.attempt].started_at;
  if (in_outage || !state_.service_time.known() || !(latency_ms > 0)) return;
  const Duration objective = state_.ClassOf(request).latency_objective;
  state_.concurrency_limit.OnLatency(
      latency_ms,
      state_.service_time.ExpectedMs(request.work_ms, state_.latencies.mean_work_ms(), objective));
  state_.load_shedder.OnLatency(latency_ms, objective);
}

void OutcomeObserver::MarkOverdueAttempts() {
  for (auto& [id, request] : state_.requests) {
    if (!state_.latencies.HasSamples(request.request_class)) continue;
    const Duration unlikely = state_.latencies.UnlikelyLatency(request.request_class, request.work_ms);
    for (AttemptState& attempt : request.attempts) {
      if (!attempt.outstanding || attempt.overdue || state_.now - attempt.started_at < unlikely) continue;
      attempt.overdue = true;
      BackendState& backend = state_.endpoints[attempt.backend];
      if (state_.zone_outages.LastAnswer(backend.endpoint.zone) < attempt.started_at)
        backend_set_.OnNoAnswer(backend);
      state_.concurrency_limit.OnOverdue();
      state_.recheck_queue = true;
    }
  }
}

}  // namespace copperpoint
