// SPDX-License-Identifier: Apache-2.0
//
// The periodic step of the decision module: samples rates, decays averages, updates the rules that depend on
// them, and marks overdue attempts, which may begin a zone outage.
#ifndef COPPERPOINT_DECISION_RATE_SAMPLER_H_
#define COPPERPOINT_DECISION_RATE_SAMPLER_H_

#include "copperpoint/balancer.h"
#include "decision/backend_set_updater.h"
#include "decision/decision_state.h"
#include "decision/outcome_observer.h"

namespace copperpoint {

// Owns the times of the samples.
class RateSampler {
 public:
  RateSampler(DecisionState& state, BackendSetUpdater& backend_set, OutcomeObserver& observer)
      : state_(state), backend_set_(backend_set), observer_(observer) {}

  // Takes a sample if kInterval has passed since the last one.
  void Advance();
  TimePoint next_sample_at() const { return next_sample_at_; }

 private:
  static constexpr Duration kInterval{100};

  void UpdateRates(Duration elapsed);
  void UpdateSlowStart(Duration elapsed);

  DecisionState& state_;
  BackendSetUpdater& backend_set_;
  OutcomeObserver& observer_;
  TimePoint next_sample_at_{}, sampled_at_{};
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_RATE_SAMPLER_H_
