// SPDX-License-Identifier: Apache-2.0
//
// Starts attempts, queues requests while there is no capacity, and ends requests that can't be served.
#ifndef COPPERPOINT_DECISION_REQUEST_SCHEDULER_H_
#define COPPERPOINT_DECISION_REQUEST_SCHEDULER_H_

#include "copperpoint/balancer.h"
#include "decision/decision_state.h"
#include "decision/request_state.h"
#include "decision/retry_policy.h"

namespace copperpoint {

// Holds no state of its own. A finished request stays in DecisionState::requests until EraseIfDone.
class RequestScheduler {
 public:
  explicit RequestScheduler(DecisionState& state) : state_(state) {}

  // Starts an attempt, queues the request or ends it. Returns whether an attempt was started.
  bool Dispatch(RequestState& request);
  // Retries after a failed attempt if the retry policy permits it, otherwise ends the request. `adds_load`:
  // the failed attempt put load on its backend, so that the retry must also be within the retry budget.
  void Retry(RequestState& request, bool adds_load);
  // Ends the request: as rejected if RetryPolicy::Permission allows it, otherwise as failed.
  void Finish(RequestState& request, RejectReason reason, Duration retry_after = Duration(0));
  // Records that a request has ended for any cause. `client_may_retry`: the client may retry it, as clients
  // do after a rejection, and after any failure of an idempotent request.
  void MarkFinished(RequestState& request, bool client_may_retry);
  // Removes a finished request from the queue, and erases it if it has no outstanding attempt.
  void EraseIfDone(Requests::iterator entry);

  // Ends queued requests whose maximum wait is over, or extends the wait during an interruption.
  void EndExpiredWaits();
  // Dispatches queued requests in the order of the queue if DecisionState::recheck_queue is set.
  void DispatchQueued();

  // Returns whether the concurrency limit permits another attempt.
  bool HasCapacity() const;
  // Returns the Retry-After for the client of a rejected request, 0 for none.
  Duration RetryAfter(const RequestState& request);

 private:
  // `send_by`: as in RetryPolicy::Permission.
  void StartAttemptAt(RequestState& request, BackendState& backend, TimePoint send_by);
  Duration TimeoutFor(const RequestState& request, const BackendState& backend, TimePoint send_by) const;
  void Enqueue(RequestState& request);
  void OnMaxQueueTime(RequestState& request);
  void RejectForNoCapacity(RequestState& request);
  BackendState* Pick(const RequestState& request, const RetryPolicy::Permission& permission);
  RetryPolicy::Permission PermissionFor(const RequestState& request) const;
  void LogEnd(const RequestState& request, bool rejected);

  DecisionState& state_;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_REQUEST_SCHEDULER_H_
