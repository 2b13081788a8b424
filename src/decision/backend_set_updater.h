// SPDX-License-Identifier: Apache-2.0
//
// Updates the set of backends that are listed or in service, and with it the subset: on endpoint lists, and
// when ejections and zone outages begin and end.
#ifndef COPPERPOINT_DECISION_BACKEND_SET_UPDATER_H_
#define COPPERPOINT_DECISION_BACKEND_SET_UPDATER_H_

#include <vector>

#include "copperpoint/balancer.h"
#include "decision/decision_state.h"

namespace copperpoint {

// Holds no state of its own.
class BackendSetUpdater {
 public:
  explicit BackendSetUpdater(DecisionState& state) : state_(state) {}

  void OnEndpointUpdate(const EndpointUpdate& update);
  void OnStateRestored(const StateRestored& restored);
  void OnSubsetPosition(const SubsetPosition& position);
  // Returns the state of the backends that have been ejected or are warming up, for the successor.
  std::vector<BackendSnapshot> Export(TimePoint now);

  // Records that an attempt at the backend got no answer. May take the backend's zone out of service.
  void OnNoAnswer(BackendState& backend);
  // Records the outcome of an attempt for outlier detection. May eject the backend.
  void OnOutcome(BackendState& backend, bool success);

  // Ends the outlier detection interval, ejections and zone outages whose time is over.
  void Advance();
  // Recomputes DecisionState::capacity.
  void CountCapacity();
  // Adapts the interval of outlier detection and the size of the subset to this proxy's traffic.
  void FitToTraffic();

 private:
  void OnBackendSetChanged();
  void RebuildSubset();
  void ReturnBackends();

  DecisionState& state_;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_BACKEND_SET_UPDATER_H_
