// SPDX-License-Identifier: Apache-2.0
//
// Starts attempts, queues requests while there is no capacity, and ends those that can't be served.
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

  // Starts an attempt, or queues the request, or ends it; true if an attempt was started.
  bool Dispatch(RequestState& request);
  // After a failed attempt: another one where permitted and, if it adds load, within the retry budget.
  void Retry(RequestState& request, bool adds_load);
  // Ends the request: rejected where that is true to its attempts, otherwise failed.
  void Finish(RequestState& request, RejectReason reason, Duration retry_after = Duration(0));
  // Notes the end of a request, whoever brought it about. `client_may_retry`: as clients do after a
  // rejection, and where it is idempotent after any failure.
  void MarkFinished(RequestState& request, bool client_may_retry);
  // Erases a finished request that has no outstanding attempt; removes a finished one from the queue.
  void EraseIfDone(Requests::iterator entry);

  // Ends queued requests whose maximum wait is over, or extends the wait during an interruption.
  void EndExpiredWaits();
  // Tries queued requests, in order of priority, if capacity may have come free.
  void DispatchQueued();

  bool HasCapacity() const;
  // What the client of a rejected request is told.
  Duration RetryAfter(const RequestState& request);

 private:
  void StartAttemptAt(RequestState& request, BackendState& backend);
  Duration TimeoutFor(const RequestState& request, const BackendState& backend) const;
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
