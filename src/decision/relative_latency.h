// SPDX-License-Identifier: Apache-2.0
//
// The latency of one backend relative to the mean of all backends.
#ifndef COPPERPOINT_DECISION_RELATIVE_LATENCY_H_
#define COPPERPOINT_DECISION_RELATIVE_LATENCY_H_

#include <algorithm>
#include <cmath>

#include "copperpoint/balancer.h"
#include "decision/backend_state.h"

namespace copperpoint {

// Averages the ratio of a backend's latencies to the mean of their class. Without further answers the ratio
// returns to 1 with the time constant kMemory. Owns LatencyState of all backends.
class RelativeLatency {
 public:
  // Returns the average ratio at `now`; 1 for a backend without answers.
  static double Of(const LatencyState& state, TimePoint now) {
    if (state.ratio == 1) return 1;  // saves the exponential: with many backends, most have no answer yet
    return 1 + (state.ratio - 1) * std::exp((state.updated_at - now) / kMemory);
  }

  // Records an answer. `latency_ms` and `mean_ms` are scaled to the same work.
  static void Update(LatencyState& state, double latency_ms, double mean_ms, TimePoint now) {
    const double ratio = std::min(kMaxRatio, latency_ms / std::max(mean_ms, 1e-9));
    state.ratio = Of(state, now);
    state.ratio += kGain * (ratio - state.ratio);
    state.updated_at = now;
  }

 private:
  static constexpr Duration kMemory{4000};
  static constexpr double kGain = 0.08;   // weight of one answer in the average
  static constexpr double kMaxRatio = 8;  // upper bound of the ratio that one answer adds
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_RELATIVE_LATENCY_H_
