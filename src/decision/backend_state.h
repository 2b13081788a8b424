// SPDX-License-Identifier: Apache-2.0
//
// What a proxy knows of one backend: a record in which each rule owns a part.
#ifndef COPPERPOINT_DECISION_BACKEND_STATE_H_
#define COPPERPOINT_DECISION_BACKEND_STATE_H_

#include <cstdint>
#include <utility>
#include <vector>

#include "copperpoint/balancer.h"

namespace copperpoint {

// Of the dense array of backends in EndpointSet.
using BackendIndex = std::uint32_t;

// Owned by RelativeLatency (relative_latency.h).
struct LatencyState {
  double ratio = 1;  // latency of its answers over what all backends take for the like
  TimePoint updated_at{};
};

// Owned by OutlierDetector.
struct BackendHealth {
  int successes = 0, failures = 0;  // of this interval
  int ejection_multiplier = 0;
  bool ejected = false;
  TimePoint ejected_until{};
  int attempts() const { return successes + failures; }
};

// The work sent to one backend within a rolling window. Owned by SlowStart.
class WorkWindow {
 public:
  void Add(TimePoint now, double work_ms) { sent_.emplace_back(now, work_ms); }
  void Clear() { sent_.clear(); }
  // Sum in ms of the work sent within the last `window`. Forgets what was sent before.
  double Within(TimePoint now, Duration window) {
    std::erase_if(sent_, [&](const auto& sent) { return now - sent.first > window; });
    double sum = 0;
    for (const auto& [at, work_ms] : sent_) sum += work_ms;
    return sum;
  }

 private:
  std::vector<std::pair<TimePoint, double>> sent_;
};

// Owned by SlowStart.
struct SlowStartState {
  WorkWindow sent;
  TimePoint last_sent{};  // or the start of its process
  double wait_fraction =
      1;  // of the slow start wait that must pass before the next attempt; random for the first
};

struct BackendState {
  // What a pick reads stands first and together: with thousands of backends a pick waits for memory.
  Endpoint endpoint;
  double outstanding_work_ms = 0;  // of this proxy's attempts
  LatencyState latency;
  BackendHealth health;
  int subset_generation = 0;    // the last subset that contained it; owned by Subset
  int snapshot_generation = 0;  // the last snapshot that listed it; owned by EndpointSet
  int outstanding_attempts = 0;
  bool in_zone_outage = false;
  SlowStartState slow_start;
  TimePoint last_activity{};  // last outcome but a timeout, or start of an attempt while none was outstanding
  TimePoint removed_at{};     // owned by EndpointSet

  bool ready() const { return endpoint.state == EndpointState::kReady; }
  bool in_service() const { return !(health.ejected || in_zone_outage); }
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_BACKEND_STATE_H_
