// SPDX-License-Identifier: Apache-2.0
//
// The path of an event through the decision module. The rules that decide are listed in decision_state.h, and
// docs/decisions.md has a table of them.
#include "copperpoint/balancer.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "decision/backend_set_updater.h"
#include "decision/decision_state.h"
#include "decision/never.h"
#include "decision/outcome_observer.h"
#include "decision/rate_sampler.h"
#include "decision/request_admission.h"
#include "decision/request_scheduler.h"

namespace copperpoint {

// Owns the state of all rules and the steps that work on it, and passes each event to the steps concerned.
class Balancer::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed) : state_(std::move(settings), seed) {}

  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions) {
    state_.now = now;
    state_.actions = actions;
    // The event is handled before the timers: an endpoint list may remove a backend that a retry which is due
    // now would be sent to.
    std::visit([this](const auto& e) { On(e); }, event);
    AdvanceTime();
    scheduler_.DispatchQueued();
    SetNextTimer();
    state_.actions = nullptr;
  }

  std::vector<BackendSnapshot> ExportState(TimePoint now) { return backend_set_.Export(now); }

 private:
  void On(const EndpointUpdate& event) { backend_set_.OnEndpointUpdate(event); }
  void On(const StateRestored& event) { backend_set_.OnStateRestored(event); }
  void On(const SubsetPosition& event) { backend_set_.OnSubsetPosition(event); }
  void On(const RequestReceived& event) { admission_.OnRequestReceived(event); }
  void On(const TimerFired&) {}  // AdvanceTime does all that is due

  void On(const ResponseStarted& event) {
    const auto found = state_.requests.find(event.request);
    if (found != state_.requests.end()) found->second.response_started = true;
  }

  void On(const AttemptCompleted& event) {
    const auto found = state_.requests.find(event.request);
    if (found == state_.requests.end()) return;
    RequestState& request = found->second;
    if (event.attempt < 0 || event.attempt >= static_cast<int>(request.attempts.size())) return;
    AttemptState& attempt = request.attempts[event.attempt];
    if (!attempt.outstanding) return;
    attempt.outstanding = false;
    attempt.may_have_run = RetryPolicy::MayHaveRun(event.outcome);
    observer_.OnAttemptCompleted(request, event);
    state_.recheck_queue = true;
    if (event.request_completed && !request.finished)
      scheduler_.MarkFinished(request,
                              /*client_may_retry=*/event.outcome != AttemptOutcome::kSuccess);
    if (!request.finished && !request.queued && !request.has_outstanding_attempt())
      scheduler_.Retry(
          request, /*adds_load=*/attempt.may_have_run || event.outcome == AttemptOutcome::kBackendRejected);
    scheduler_.EraseIfDone(found);
  }

  void On(const ClientDisconnected& event) {
    const auto found = state_.requests.find(event.request);
    if (found == state_.requests.end()) return;
    if (!found->second.finished) scheduler_.MarkFinished(found->second, /*client_may_retry=*/true);
    scheduler_.EraseIfDone(found);
  }

  void AdvanceTime() {
    if (state_.now >= timer_at_) timer_at_ = kNever;
    backend_set_.Advance();
    sampler_.Advance();
    if (state_.poller.TakeDuePoll(state_.now)) state_.Emit(PollEndpoints{});
    scheduler_.EndExpiredWaits();
  }

  void SetNextTimer() {
    const TimePoint next_sample = state_.queue.empty() ? kNever : sampler_.next_sample_at();
    const TimePoint at = std::min({state_.poller.next_poll_at(), next_sample, state_.queue.next_wake_up()});
    if (at >= timer_at_) return;
    timer_at_ = at;
    state_.Emit(SetTimer{at, 0});
  }

  DecisionState state_;
  BackendSetUpdater backend_set_{state_};
  RequestScheduler scheduler_{state_};
  OutcomeObserver observer_{state_, backend_set_};
  RequestAdmission admission_{state_, scheduler_};
  RateSampler sampler_{state_, backend_set_, observer_};
  TimePoint timer_at_ = kNever;  // when the earliest pending timer fires
};

Balancer::Balancer(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::Handle(TimePoint now, const Event& event, std::vector<Action>* actions) {
  impl_->Handle(now, event, actions);
}

std::vector<BackendSnapshot> Balancer::ExportState(TimePoint now) { return impl_->ExportState(now); }

}  // namespace copperpoint
