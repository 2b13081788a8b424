// SPDX-License-Identifier: Apache-2.0
#include "simulation/policies/endpoint_tracking_policy.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace copperpoint::simulation {
namespace {

constexpr std::uint64_t kPollTimer = 1;  // timer token
// After a failed poll, the next one is delayed by a jitter derived from the seed, so that proxies do not poll
// simultaneously.
constexpr double kMinPollRetryMs = 100;
constexpr std::uint64_t kPollJitterMs = 900;

}  // namespace

EndpointTrackingPolicy::EndpointTrackingPolicy(PolicyContext context) : context_(std::move(context)) {}

void EndpointTrackingPolicy::Handle(TimePoint now, const Event& event, std::vector<Action>* actions) {
  now_ = now;
  actions_ = actions;
  std::visit([this](const auto& e) { On(e); }, event);
  actions_ = nullptr;
}

int EndpointTrackingPolicy::IndexOf(BackendId backend) const {
  const auto found = index_.find(backend);
  return found == index_.end() ? -1 : found->second;
}

// ---- endpoints ----------------------------------------------------------------------------------------

void EndpointTrackingPolicy::SchedulePoll(EndpointUpdateKind kind) {
  const bool cached = kind == EndpointUpdateKind::kCached;
  if (!context_.settings.polls_endpoints || !(cached || kind == EndpointUpdateKind::kFailed)) return;
  const double retry_ms = kMinPollRetryMs + static_cast<double>(context_.seed % kPollJitterMs);
  actions_->push_back(SetTimer{now_ + Duration(cached ? 0 : retry_ms), kPollTimer});
}

void EndpointTrackingPolicy::On(const EndpointUpdate& event) {
  SchedulePoll(event.kind);
  if (event.kind == EndpointUpdateKind::kFailed) return;
  if (event.kind != EndpointUpdateKind::kIncremental) {
    for (Candidate& backend : backends_) backend.ready = false;
  }
  for (const Endpoint& endpoint : event.endpoints) {
    const auto [found, added] = index_.try_emplace(endpoint.backend, static_cast<int>(backends_.size()));
    if (added) backends_.push_back({endpoint.backend, false, 0});
    backends_[static_cast<std::size_t>(found->second)].ready = endpoint.state == EndpointState::kReady;
  }
  OnBackendCount(backends_.size());
  ready_.clear();
  for (std::size_t i = 0; i < backends_.size(); ++i) {
    if (backends_[i].ready) ready_.push_back(static_cast<int>(i));
  }
}

void EndpointTrackingPolicy::On(const TimerFired& event) {
  if (event.token == kPollTimer) actions_->push_back(PollEndpoints{});
}

// ---- requests -----------------------------------------------------------------------------------------

void EndpointTrackingPolicy::On(const RequestReceived& event) {
  if (!Admits(event)) return Reject(event);
  OnAdmitted();
  OpenRequest& request = open_[event.request];
  request.received = event;
  Send(&request);
}

// The Retry-After is the request's deadline, bounded by the longest Retry-After that clients follow: the
// client then stays away for the whole time in which it would retry, as with the balancer.
void EndpointTrackingPolicy::Reject(const RequestReceived& event) {
  const Settings& settings = context_.settings;
  const Duration deadline = settings.classes[static_cast<std::size_t>(event.request_class)].deadline;
  actions_->push_back(RejectRequest{event.request, std::min(settings.max_retry_after, deadline)});
}

void EndpointTrackingPolicy::On(const ClientDisconnected& event) { open_.erase(event.request); }

void EndpointTrackingPolicy::RecordAttempt(const AttemptCompleted& event) {
  const int index = IndexOf(event.backend);
  if (index < 0) return;
  --backends_[static_cast<std::size_t>(index)].in_flight;
  --attempts_in_flight_;
  if (event.outcome == AttemptOutcome::kNotSent || event.outcome == AttemptOutcome::kCancelled) return;
  OnAttemptCompleted(index, event.outcome == AttemptOutcome::kSuccess, event.duration.count());
}

void EndpointTrackingPolicy::On(const AttemptCompleted& event) {
  RecordAttempt(event);
  const auto found = open_.find(event.request);
  if (found == open_.end()) return;
  OpenRequest& request = found->second;
  if (event.outcome == AttemptOutcome::kSuccess || event.outcome == AttemptOutcome::kTimeout)
    OnResponseOrTimeout(request, event.duration.count());
  if (event.request_completed) {
    open_.erase(found);
    return;
  }
  request.may_have_run |= event.outcome != AttemptOutcome::kBackendRejected &&
                          event.outcome != AttemptOutcome::kConnectFailure &&
                          event.outcome != AttemptOutcome::kNotSent;
  if (MayRetry(request)) return Send(&request);
  End(request);
}

bool EndpointTrackingPolicy::IsIdempotent(const OpenRequest& request) const {
  const auto request_class = static_cast<std::size_t>(request.received.request_class);
  return context_.settings.classes[request_class].idempotency == Idempotency::kIdempotent;
}

bool EndpointTrackingPolicy::MayRetry(const OpenRequest& request) {
  const bool allowed = IsIdempotent(request) || !request.may_have_run;
  return allowed && now_ < request.received.deadline &&
         static_cast<int>(request.tried.size()) < context_.settings.max_attempts && MayRetry();
}

void EndpointTrackingPolicy::Send(OpenRequest* request) {
  const int index = Pick(*request);
  if (index < 0) return End(*request);
  request->tried.push_back(index);
  Candidate& backend = backends_[static_cast<std::size_t>(index)];
  ++backend.in_flight;
  ++attempts_in_flight_;
  OnSent(index);
  actions_->push_back(StartAttempt{request->received.request, backend.id, Duration(0)});
}

void EndpointTrackingPolicy::End(const OpenRequest& request) {
  const RequestId id = request.received.request;
  if (IsIdempotent(request) || !request.may_have_run) {
    actions_->push_back(RejectRequest{id, Duration(0)});
  } else {
    actions_->push_back(FailRequest{id});
  }
  open_.erase(id);
}

}  // namespace copperpoint::simulation
