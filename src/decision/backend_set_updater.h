// SPDX-License-Identifier: Apache-2.0
//
// What changes the set of backends that are listed or in service, and the subset with it: endpoint lists,
// ejections, zone outages, and their ends.
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
  std::vector<BackendSnapshot> Export(TimePoint now);

  // An attempt at the backend got no answer: its zone may be out of service.
  void OnNoAnswer(BackendState& backend);
  // Counts an outcome for outlier detection.
  void OnOutcome(BackendState& backend, bool success);

  // Ends intervals, ejections and outages that are over.
  void Advance();
  void CountCapacity();
  // Fits the subset and outlier detection to this proxy's traffic.
  void FitToTraffic();

 private:
  void OnBackendSetChanged();
  void RebuildSubset();
  void ReturnBackends();

  DecisionState& state_;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_BACKEND_SET_UPDATER_H_
