// SPDX-License-Identifier: Apache-2.0
#include "proxy/core/action_executor.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "decision/log_names.h"
#include "decision/retry_policy.h"
#include "log/event_names.h"
#include "log/log.h"

namespace copperpoint::proxy {
ActionExecutor::ActionExecutor(Options options, const BalancerClock& clock, RequestTable& requests,
                               BackendPool& backends, DiscoveryClient& discovery, EventSink& events)
    : options_(options),
      clock_(clock),
      requests_(requests),
      backends_(backends),
      discovery_(discovery),
      events_(events) {}

void ActionExecutor::Execute(const Action& action) {
  std::visit([this](const auto& alternative) { Run(alternative); }, action);
}

void ActionExecutor::OnExecuteFailed(const Action& action) {
  const auto* start = std::get_if<StartAttempt>(&action);
  OpenRequest* request = start ? requests_.Find(start->request) : nullptr;
  if (!request) return;
  request->attempt_in_flight = false;
  ReportNotSent(*start, request->attempts - 1);
}

void ActionExecutor::Run(const StartAttempt& action) {
  OpenRequest* request = requests_.Find(action.request);
  const auto now = Steady::now();
  // An attempt that cannot start is counted and numbered as well.
  const int number = request ? request->attempts++ : 0;
  if (!MayStart(request, now) || number >= options_.max_attempts) return ReportNotSent(action, number);
  Start(action, *request, number, now);
}

bool ActionExecutor::MayStart(const OpenRequest* request, Steady::time_point now) const {
  return request && !request->answered() && !request->attempt_in_flight && now < request->deadline;
}

void ActionExecutor::Start(const StartAttempt& action, OpenRequest& request, int number,
                           Steady::time_point now) {
  request.attempt_in_flight = true;
  log::Global().Debug(log::events::kAttemptStarted, {{log::fields::kRequest, action.request},
                                                     {"attempt", number},
                                                     {log::fields::kBackend, action.backend},
                                                     {log::fields::kWorkMs, request.estimated_work_ms}});
  Duration timeout = request.deadline - now;
  if (action.timeout.count() != 0) timeout = std::clamp(action.timeout, Duration(0), timeout);
  const AttemptRecord attempt{action.request, number, action.backend, now};
  request.attempt = backends_.SendRequest(
      action.backend, request.message,
      {.timeout = timeout,
       .send_by = clock_.ToSteady(action.send_by),
       .response_time = request.deadline - request.received_at,
       .response_due = request.deadline},
      [this, attempt](AttemptResult result) { OnAttemptCompleted(attempt, std::move(result)); },
      request.upload);
}

void ActionExecutor::ReportNotSent(const StartAttempt& action, int number) {
  const OpenRequest* request = requests_.Find(action.request);
  AttemptCompleted completed;
  completed.request = action.request;
  completed.attempt = number;
  completed.backend = action.backend;
  completed.request_completed = !request || request->answered();
  completed.outcome = AttemptOutcome::kNotSent;
  events_.Dispatch(completed);
}

void ActionExecutor::OnAttemptCompleted(const AttemptRecord& attempt, AttemptResult result) {
  AttemptCompleted completed;
  completed.request = attempt.request;
  completed.attempt = attempt.number;
  completed.backend = attempt.backend;
  completed.outcome = result.outcome;
  completed.duration = Steady::now() - result.request_written_at.value_or(attempt.started_at);
  log::Global().Debug(log::events::kAttemptCompleted,
                      {{log::fields::kRequest, attempt.request},
                       {"attempt", attempt.number},
                       {log::fields::kBackend, attempt.backend},
                       {log::fields::kOutcome, LogName(completed.outcome)},
                       {log::fields::kDurationMs, completed.duration.count()}});
  if (OpenRequest* request = requests_.Find(attempt.request)) request->attempt_in_flight = false;
  CompleteRequest(attempt, std::move(result));
  const OpenRequest* request = requests_.Find(attempt.request);
  completed.request_completed = !request || request->answered();
  requests_.RemoveIfDone(attempt.request);
  events_.Dispatch(completed);
}

// Sends the final response if the result rules out a retry; otherwise the Balancer decides on a retry.
void ActionExecutor::CompleteRequest(const AttemptRecord& attempt, AttemptResult result) {
  const OpenRequest* request = requests_.Find(attempt.request);
  const auto reject = [&](Responder& to) { to.SendUnavailable(options_.process_limit_retry_after); };
  const auto fail = [](Responder& to) { to.SendBadGateway(); };
  if (result.outcome == AttemptOutcome::kSuccess) {
    requests_.Complete(attempt.request, RequestOutcome::kServed, RejectReason::kNone, [&](Responder& to) {
      to.SendResponse(std::move(result.response), std::move(result.body_stream), result.body_length);
    });
  } else if (result.outcome == AttemptOutcome::kUnknown) {
    requests_.Complete(attempt.request, RequestOutcome::kClientError, RejectReason::kNone,
                       [&](Responder& to) { to.SendClientError(result.response.result()); });
  } else if (result.local_failure) {
    // A limit of this process was reached: no backend is at fault, and another attempt would fail likewise.
    if (attempt.number > 0) {
      requests_.Complete(attempt.request, RequestOutcome::kFailed, RejectReason::kProcessLimit, fail);
    } else {
      requests_.Complete(attempt.request, RequestOutcome::kRejected, RejectReason::kProcessLimit, reject);
    }
  } else if (request && request->upload && request->upload->consumed) {
    // Part of the body has been forwarded and is not buffered any more, so that no retry is possible.
    if (RetryPolicy::MayHaveRun(result.outcome)) {
      requests_.Complete(attempt.request, RequestOutcome::kFailed, RejectReason::kRequestBodyConsumed, fail);
    } else {
      requests_.Complete(attempt.request, RequestOutcome::kRejected, RejectReason::kRequestBodyConsumed,
                         reject);
    }
  }
}

void ActionExecutor::Run(const RejectRequest& action) {
  requests_.Complete(action.request, RequestOutcome::kRejected, action.reason,
                     [&](Responder& to) { to.SendUnavailable(action.retry_after); });
  requests_.RemoveIfDone(action.request);
}

void ActionExecutor::Run(const FailRequest& action) {
  requests_.Complete(action.request, RequestOutcome::kFailed, action.reason,
                     [](Responder& to) { to.SendBadGateway(); });
  requests_.RemoveIfDone(action.request);
}

void ActionExecutor::Run(const SetTimer&) {}  // executed by EventDispatcher itself

void ActionExecutor::Run(const PollEndpoints&) { discovery_.Watch(); }

void ActionExecutor::Run(const CloseIdleConnections& action) {
  backends_.CloseIdleConnections(action.backend);
}

void ActionExecutor::Run(const Log& action) {
  log::Global().Info(log::events::kDecision, {{log::fields::kText, action.text}});
}

}  // namespace copperpoint::proxy
