// SPDX-License-Identifier: Apache-2.0
#include "decision/request_scheduler.h"

#include <algorithm>
#include <optional>
#include <string>

#include "decision/attempt_timeout.h"

namespace copperpoint {
namespace {

// DispatchQueued stops after this number of queued requests that could not be dispatched.
constexpr int kMaxQueueMisses = 8;

}  // namespace

bool RequestScheduler::Dispatch(RequestState& request) {
  const RetryPolicy::Permission permission = PermissionFor(request);
  BackendState* backend = permission.may_dispatch && HasCapacity() ? Pick(request, permission) : nullptr;
  if (backend) {
    state_.queue.Remove(request);
    StartAttemptAt(request, *backend, permission.send_by);
    return true;
  }
  if (!permission.may_dispatch) {
    Finish(request, RejectReason::kNotRetriable, RetryAfter(request));
  } else if (state_.now >= request.wait_until) {
    RejectForNoCapacity(request);
  } else if (!request.queued) {
    Enqueue(request);
  }
  return false;
}

RetryPolicy::Permission RequestScheduler::PermissionFor(const RequestState& request) const {
  return state_.retry_policy.PermissionFor(request, state_.ClassOf(request), state_.now);
}

bool RequestScheduler::HasCapacity() const {
  ConcurrencyLimit::Inputs inputs;
  inputs.answers_per_ms = state_.traffic.answers_per_ms();
  inputs.mean_objective_ms = state_.latencies.mean_objective_ms();
  inputs.uncongested_latency_ms = state_.service_time.known()
                                      ? state_.service_time.OfWork(state_.latencies.mean_work_ms())
                                      : inputs.mean_objective_ms;
  inputs.ready_capacity = state_.capacity.ready;
  inputs.proxy_count = state_.settings.proxy_count;
  return state_.concurrency_limit.HasCapacity(inputs);
}

BackendState* RequestScheduler::Pick(const RequestState& request, const RetryPolicy::Permission& permission) {
  const BackendPicker::Result result =
      state_.picker.Pick(request, permission.deduplication_anchor, state_.now, state_.random);
  if (result.over_budget && state_.MayLog(LogKind::kSlowStart)) {
    const Endpoint& endpoint = result.over_budget->endpoint;
    const double fraction = state_.slow_start.CapacityFraction(endpoint, state_.now);
    state_.WriteLog("backend " + std::to_string(endpoint.backend) + " passed over: in slow start, at " +
                    std::to_string(static_cast<int>(100 * fraction)) + "% or more of its capacity");
  }
  return result.backend;
}

void RequestScheduler::StartAttemptAt(RequestState& request, BackendState& backend, TimePoint send_by) {
  if (request.attempts.empty()) {
    state_.retry_budget.OnFirstAttempt();
  } else {
    state_.retry_budget.OnRetry();
  }
  const Duration timeout = TimeoutFor(request, backend, send_by);
  if (backend.outstanding_attempts == 0) backend.last_activity = state_.now;
  state_.concurrency_limit.OnAttemptStarted();
  backend.outstanding_work_ms += request.work_ms;
  ++backend.outstanding_attempts;
  const bool warming_up = state_.slow_start.CapacityFraction(backend.endpoint, state_.now) < 1;
  SlowStart::OnSent(backend.slow_start, warming_up, request.work_ms, state_.now);
  const BackendIndex index = state_.endpoints.IndexOf(backend);
  if (state_.settings.key_affinity && request.key != 0)
    state_.key_memory.OnSent(request.key, index, state_.now);
  AttemptState attempt;
  attempt.backend = index;
  attempt.started_at = state_.now;
  request.attempts.push_back(attempt);
  state_.Emit(StartAttempt{request.id, backend.endpoint.backend, timeout, send_by});
}

Duration RequestScheduler::TimeoutFor(const RequestState& request, const BackendState& backend,
                                      TimePoint send_by) const {
  const ClassSettings& settings = state_.ClassOf(request);
  AttemptTimeoutInputs inputs;
  inputs.may_retry = settings.idempotency != Idempotency::kNonIdempotent && state_.retry_budget.HasToken() &&
                     !state_.retry_policy.NextAttemptIsLast(request);
  inputs.has_samples = state_.latencies.HasSamples(request.request_class);
  inputs.backend_has_attempts = backend.outstanding_attempts > 0;
  inputs.time_since_activity = state_.now - backend.last_activity;
  inputs.unlikely_latency = state_.latencies.UnlikelyLatency(request.request_class, request.work_ms);
  inputs.usual_latency = state_.latencies.UsualLatency(request.request_class, request.work_ms);
  inputs.now = state_.now;
  inputs.deadline = request.deadline;
  inputs.retry_by = std::min(send_by, RetryPolicy::RetryBy(state_.now, settings));
  return AttemptTimeoutFor(inputs);
}

void RequestScheduler::Enqueue(RequestState& request) {
  const bool within_quota = request.logical_request.within_quota;
  request.queue_priority =
      request.priority_weight / state_.ClassOf(request).priority_weight *
      state_.priority.PriorityOf(request.request_class, within_quota ? request.tenant : -1);
  state_.queue.Add(request);
  state_.queue.AddWakeUp(request.wait_until, request.id);
}

void RequestScheduler::Retry(RequestState& request, bool adds_load) {
  if (!PermissionFor(request).may_dispatch) return Finish(request, RejectReason::kNotRetriable);
  if (adds_load && !state_.retry_budget.HasToken())
    return Finish(request, RejectReason::kRetryBudgetExhausted);
  // A retry may wait four ticks for capacity, but must end two ticks before the client's deadline.
  const Duration tick = state_.settings.tick;
  request.wait_until =
      std::max(request.wait_until, std::min(request.deadline - tick * 2, state_.now + tick * 4));
  Dispatch(request);
}

void RequestScheduler::Finish(RequestState& request, RejectReason reason, Duration retry_after) {
  const bool reject = PermissionFor(request).may_reject;
  if (state_.MayLog(LogKind::kRequestEnd)) LogEnd(request, reject);
  if (reject) {
    state_.Emit(RejectRequest{request.id, retry_after, reason});
  } else {
    state_.Emit(FailRequest{request.id, reason});
  }
  ++state_.overload_counts.unserved;
  MarkFinished(request, reject || state_.ClassOf(request).idempotency == Idempotency::kIdempotent);
}

// Writes a sample of the ended requests to the log, limited by LogLimiter. The reason of each single request
// is in the event request_completed at level debug.
void RequestScheduler::LogEnd(const RequestState& request, bool rejected) {
  std::string cause = "no attempt was started";
  if (!request.attempts.empty()) {
    const Endpoint& last = state_.endpoints[request.attempts.back().backend].endpoint;
    cause = "last attempt at backend " + std::to_string(last.backend);
  }
  state_.WriteLog((rejected ? "rejected: " : "failed: ") + cause + "; " +
                  std::to_string(state_.concurrency_limit.in_flight()) + " in flight, " +
                  std::to_string(state_.queue.size()) + " queued");
}

void RequestScheduler::MarkFinished(RequestState& request, bool client_may_retry) {
  request.finished = true;
  const Duration deadline = state_.ClassOf(request).deadline;
  if (client_may_retry) {
    state_.client_retries.OnUnserved(request.fingerprint, request.logical_request,
                                     request.logical_request.first_received + deadline);
  } else {
    state_.client_retries.OnServed(request.fingerprint, state_.now + deadline);
  }
}

void RequestScheduler::EraseIfDone(Requests::iterator entry) {
  RequestState& request = entry->second;
  if (!request.finished) return;
  state_.queue.Remove(request);
  if (!request.has_outstanding_attempt()) state_.requests.erase(entry);
}

void RequestScheduler::EndExpiredWaits() {
  while (const std::optional<RequestId> id = state_.queue.TakeDue(state_.now)) {
    const auto found = state_.requests.find(*id);
    if (found == state_.requests.end()) continue;
    RequestState& request = found->second;
    if (request.queued && state_.now >= request.wait_until) OnMaxQueueTime(request);
    EraseIfDone(found);
  }
}

// If no attempt has ended with an outcome that reflects its backend's health since this request arrived, the
// cause is presumed to be an interruption and not congestion. It may end at any time, so the request may wait
// until max_wait_until.
void RequestScheduler::OnMaxQueueTime(RequestState& request) {
  if (state_.last_outcome > request.received_at || state_.now >= request.max_wait_until)
    return RejectForNoCapacity(request);
  request.wait_until = request.max_wait_until;
  state_.queue.AddWakeUp(request.wait_until, request.id);
}

void RequestScheduler::RejectForNoCapacity(RequestState& request) {
  if (state_.zone_outages.last_answer() > request.received_at) state_.load_shedder.OnNoCapacity();
  Finish(request, RejectReason::kNoCapacity, RetryAfter(request));
}

Duration RequestScheduler::RetryAfter(const RequestState& request) {
  return RetryAfterFor(state_.ClassOf(request).deadline, state_.settings.max_retry_after,
                       request.logical_request.client_attempts, state_.random);
}

void RequestScheduler::DispatchQueued() {
  if (!state_.recheck_queue) return;
  state_.recheck_queue = false;
  int misses = 0;
  state_.queue.VisitInOrder([&](RequestId id) {
    const auto found = state_.requests.find(id);
    misses += !Dispatch(found->second);
    EraseIfDone(found);
    return misses < kMaxQueueMisses;
  });
}

}  // namespace copperpoint
