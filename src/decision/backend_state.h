// SPDX-License-Identifier: Apache-2.0
//
// What a proxy knows of one backend: a record of several parts, each owned by one rule.
#ifndef COPPERPOINT_DECISION_BACKEND_STATE_H_
#define COPPERPOINT_DECISION_BACKEND_STATE_H_

#include <cstdint>
#include <utility>
#include <vector>

#include "copperpoint/balancer.h"

namespace copperpoint {

// Index of a backend in EndpointSet::backends().
using BackendIndex = std::uint32_t;

// The relative latency of a backend. Owned by RelativeLatency (relative_latency.h).
struct LatencyState {
  double ratio = 1;  // latency of the backend's answers over the mean of their class, averaged
  TimePoint updated_at{};
};

// The outcomes and the ejection of a backend. Owned by OutlierDetector.
struct BackendHealth {
  int successes = 0, failures = 0;  // attempts that ended in this interval
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
  // Returns the work sent within the last `window`, in ms. Erases what was sent before.
  double Within(TimePoint now, Duration window) {
    std::erase_if(sent_, [&](const auto& sent) { return now - sent.first > window; });
    double sum = 0;
    for (const auto& [at, work_ms] : sent_) sum += work_ms;
    return sum;
  }

 private:
  std::vector<std::pair<TimePoint, double>> sent_;
};

// What has been sent to a backend that is warming up. Owned by SlowStart.
struct SlowStartState {
  WorkWindow sent;
  TimePoint last_sent{};  // when the last attempt was sent; before the first, when the backend was listed
  double wait_fraction =
      1;  // fraction of the slow start wait that the next attempt must wait for; random for the first attempt
};

// The record of one backend. Members without a named owner are updated by the steps of a decision.
struct BackendState {
  // The members that a pick reads come first and together: with thousands of backends, memory access limits
  // the speed of a pick.
  Endpoint endpoint;
  double outstanding_work_ms = 0;  // estimated work of this proxy's outstanding attempts
  LatencyState latency;
  BackendHealth health;
  int subset_generation = 0;    // last subset that contained the backend; owned by Subset
  int snapshot_generation = 0;  // last full list that contained the backend; owned by EndpointSet
  int outstanding_attempts = 0;
  bool in_zone_outage = false;
  SlowStartState slow_start;
  // When an attempt last ended otherwise than by a timeout, or was started while none was outstanding.
  TimePoint last_activity{};
  TimePoint removed_at{};  // when the backend was removed; owned by EndpointSet

  bool ready() const { return endpoint.state == EndpointState::kReady; }
  bool in_service() const { return !(health.ejected || in_zone_outage); }
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_BACKEND_STATE_H_
