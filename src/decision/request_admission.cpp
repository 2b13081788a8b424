// SPDX-License-Identifier: Apache-2.0
#include "decision/request_admission.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

#include "decision/client_retry_detector.h"
#include "decision/proxy_count.h"

namespace copperpoint {
namespace {

constexpr double kMaxWorkMs = 1e6;  // upper bound of clients' work estimates; larger ones are reduced to it
// Fraction of the latency objective that a request may be queued for while the concurrency limit is reached.
constexpr double kMaxWaitFraction = 0.08;

std::optional<double> WorkEstimateMs(const RequestReceived& received) {
  if (!received.has_work_estimate || !std::isfinite(received.estimated_work_ms)) return std::nullopt;
  if (!(received.estimated_work_ms > 0)) return std::nullopt;
  return std::min(received.estimated_work_ms, kMaxWorkMs);
}

}  // namespace

void RequestAdmission::OnRequestReceived(const RequestReceived& received) {
  if (state_.requests.contains(received.request)) return;
  if (received.request_class < 0 ||
      received.request_class >= static_cast<int>(state_.settings.classes.size())) {
    // The request was never sent to a backend, so that a client retry is harmless whatever its class.
    state_.Emit(RejectRequest{received.request, Duration(0), RejectReason::kUnknownClass});
    return;
  }
  RequestState request = Describe(received);
  const Duration remaining_objective = RemainingObjective(received, request.logical_request);
  const std::optional<double> estimate_ms = WorkEstimateMs(received);
  request.has_work_estimate = estimate_ms.has_value();
  request.work_ms = state_.latencies.WorkOf(estimate_ms);
  state_.latencies.OnReceived(request.request_class, estimate_ms, request.work_ms,
                              state_.ClassOf(request).latency_objective);
  state_.traffic.OnReceived(request.work_ms);
  TakeQuota(request);
  WeighByServiceTime(request, remaining_objective);
  if (request.priority_weight <= 0)
    return scheduler_.Finish(request, RejectReason::kDeadlineUnreachable, scheduler_.RetryAfter(request));
  if (ShouldShed(request))
    return scheduler_.Finish(request, RejectReason::kLoadShed, scheduler_.RetryAfter(request));
  SetMaxWait(request, remaining_objective);
  const auto entry = state_.requests.emplace(request.id, std::move(request)).first;
  scheduler_.Dispatch(entry->second);
  scheduler_.EraseIfDone(entry);
}

RequestState RequestAdmission::Describe(const RequestReceived& received) {
  RequestState request;
  request.id = received.request;
  request.request_class = received.request_class;
  request.tenant = received.tenant;
  request.key = received.key;
  request.received_at = state_.now;
  request.deadline = std::min(received.deadline, received.answer_by);
  request.fingerprint = FingerprintOf(received);
  request.logical_request = state_.client_retries.OnReceived(request.fingerprint, state_.now);
  ++state_.overload_counts.received;
  state_.overload_counts.client_retries +=
      request.logical_request.client_attempts > 1 || received.client_retry;
  return request;
}

Duration RequestAdmission::RemainingObjective(const RequestReceived& received,
                                              const LogicalRequest& logical) {
  const ClassSettings& settings = state_.settings.classes[received.request_class];
  const Duration elapsed = state_.client_timeouts[received.request_class].ElapsedOnArrival(
      received.deadline - state_.now, settings.deadline, received.client_retry);
  return settings.latency_objective - std::max(elapsed, state_.now - logical.first_received);
}

void RequestAdmission::TakeQuota(RequestState& request) {
  LogicalRequest& logical = request.logical_request;
  if (logical.client_attempts == 1) {
    logical.within_quota = state_.tenant_quotas.TakeToken(request.tenant);
    state_.priority.OnOffered(request.request_class, request.tenant, request.work_ms, logical.within_quota);
  }
  request.priority_weight = state_.ClassOf(request).priority_weight *
                            (logical.within_quota ? 1 : state_.settings.over_quota_weight);
}

void RequestAdmission::WeighByServiceTime(RequestState& request, Duration remaining_objective) {
  const ClassSettings& settings = state_.ClassOf(request);
  // While there is capacity to spare, even a request that will be late is tried.
  const bool relaxed = state_.outlier_detector.low_traffic() && state_.load_shedder.IsRelaxed();
  const Duration service_time(relaxed ? 0 : state_.service_time.ReliableOfWork(request.work_ms));
  if (service_time > remaining_objective)
    request.priority_weight *=
        state_.now + service_time > request.deadline ? 0 : settings.late_weight_fraction;
  if (service_time > settings.latency_objective) state_.service_time.OnFoundTooLarge();
}

bool RequestAdmission::ShouldShed(const RequestState& request) {
  LoadShedder::Arrival arrival;
  arrival.fingerprint = request.fingerprint;
  arrival.has_work_estimate = request.has_work_estimate;
  arrival.over_quota = request.priority_weight < state_.ClassOf(request).priority_weight;
  const bool concurrency_limit_suffices =
      !(state_.outlier_detector.low_traffic() || HasManyProxies(state_.settings));
  return state_.load_shedder.ShouldShed(arrival, concurrency_limit_suffices, state_.random);
}

void RequestAdmission::SetMaxWait(RequestState& request, Duration remaining_objective) const {
  const Duration objective = state_.ClassOf(request).latency_objective;
  const RunningMean& latency = state_.latencies.LatencyOf(request.request_class);
  const Duration useful_wait = remaining_objective - Duration(latency.mean + latency.deviation);
  request.max_wait_until = std::min(request.deadline - state_.settings.tick * 2,
                                    state_.now + std::max(useful_wait, objective / 4));
  const Duration wait_in_congestion = std::clamp(useful_wait, Duration(0), objective * kMaxWaitFraction);
  request.wait_until = scheduler_.HasCapacity()
                           ? request.max_wait_until
                           : std::min(request.max_wait_until, state_.now + wait_in_congestion);
}

}  // namespace copperpoint
