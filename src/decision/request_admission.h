// SPDX-License-Identifier: Apache-2.0
//
// Decides on arrival whether a request is rejected at once and, if not, how long it may wait for capacity.
#ifndef COPPERPOINT_DECISION_REQUEST_ADMISSION_H_
#define COPPERPOINT_DECISION_REQUEST_ADMISSION_H_

#include "copperpoint/balancer.h"
#include "decision/decision_state.h"
#include "decision/request_scheduler.h"
#include "decision/request_state.h"

namespace copperpoint {

// Holds no state of its own.
class RequestAdmission {
 public:
  RequestAdmission(DecisionState& state, RequestScheduler& scheduler)
      : state_(state), scheduler_(scheduler) {}

  // Rejects, dispatches or queues a request that has arrived.
  void OnRequestReceived(const RequestReceived& received);

 private:
  RequestState Describe(const RequestReceived& received);
  // Returns the latency objective minus the time for which the client was already waiting on arrival.
  Duration RemainingObjective(const RequestReceived& received, const LogicalRequest& logical);
  void TakeQuota(RequestState& request);
  // Lowers the priority weight if the answer is expected after the latency objective. A weight of 0, as for
  // an answer that is expected after the deadline, makes the request rejected as kDeadlineUnreachable.
  void WeighByServiceTime(RequestState& request, Duration remaining_objective);
  bool ShouldShed(const RequestState& request);
  void SetMaxWait(RequestState& request, Duration remaining_objective) const;

  DecisionState& state_;
  RequestScheduler& scheduler_;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_REQUEST_ADMISSION_H_
