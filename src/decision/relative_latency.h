// SPDX-License-Identifier: Apache-2.0
//
// How slow the answers of one backend are, compared with those of all.
#ifndef COPPERPOINT_DECISION_RELATIVE_LATENCY_H_
#define COPPERPOINT_DECISION_RELATIVE_LATENCY_H_

#include <algorithm>
#include <cmath>

#include "copperpoint/balancer.h"
#include "decision/backend_state.h"

namespace copperpoint {

// Averages the ratio of a backend's latencies to the mean of their class; without further answers the ratio
// returns to 1 over kMemory. Owns LatencyState of all backends.
class RelativeLatency {
 public:
  static double Of(const LatencyState& state, TimePoint now) {
    if (state.ratio == 1) return 1;  // no answer yet, as of most backends where there are many
    return 1 + (state.ratio - 1) * std::exp((state.updated_at - now) / kMemory);
  }

  // `latency_ms` and `mean_ms` at the same scale of work.
  static void Update(LatencyState& state, double latency_ms, double mean_ms, TimePoint now) {
    const double ratio = std::min(kMaxRatio, latency_ms / std::max(mean_ms, 1e-9));
    state.ratio = Of(state, now);
    state.ratio += kGain * (ratio - state.ratio);
    state.updated_at = now;
  }

 private:
  static constexpr Duration kMemory{4000};
  static constexpr double kGain = 0.08;  // of one answer
  static constexpr double kMaxRatio = 8;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_RELATIVE_LATENCY_H_
