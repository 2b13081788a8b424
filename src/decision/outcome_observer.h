// SPDX-License-Identifier: Apache-2.0
//
// Passes the outcomes of attempts to the rules and statistics that depend on them.
#ifndef COPPERPOINT_DECISION_OUTCOME_OBSERVER_H_
#define COPPERPOINT_DECISION_OUTCOME_OBSERVER_H_

#include "copperpoint/balancer.h"
#include "decision/backend_set_updater.h"
#include "decision/decision_state.h"
#include "decision/request_state.h"

namespace copperpoint {

// Holds no state of its own.
class OutcomeObserver {
 public:
  OutcomeObserver(DecisionState& state, BackendSetUpdater& backend_set)
      : state_(state), backend_set_(backend_set) {}

  // Handles the end of the attempt `completed.attempt` of `request`, which is marked as no longer
  // outstanding.
  void OnAttemptCompleted(const RequestState& request, const AttemptCompleted& completed);
  // Marks attempts as overdue that have been outstanding for longer than LatencyStatistics::UnlikelyLatency.
  void MarkOverdueAttempts();

 private:
  void ReleaseBackend(const RequestState& request, AttemptOutcome outcome, BackendState& backend);
  void ObserveSuccess(const RequestState& request, const BackendState& backend);
  void ObserveLocality(const RequestState& request, bool success, const BackendState& backend);
  void ObserveLatency(const RequestState& request, const AttemptCompleted& completed, BackendState& backend);

  DecisionState& state_;
  BackendSetUpdater& backend_set_;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_OUTCOME_OBSERVER_H_
