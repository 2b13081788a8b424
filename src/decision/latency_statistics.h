// SPDX-License-Identifier: Apache-2.0
//
// What requests of each class usually take: work, latency, and the latency that would be unlikely.
#ifndef COPPERPOINT_DECISION_LATENCY_STATISTICS_H_
#define COPPERPOINT_DECISION_LATENCY_STATISTICS_H_

#include <algorithm>
#include <optional>
#include <vector>

#include "copperpoint/balancer.h"
#include "decision/running_mean.h"

namespace copperpoint {

// Owns the averages of all classes. Latencies are averaged after division by WorkScale, so that requests of
// different work compare.
class LatencyStatistics {
 public:
  static constexpr int kMinSamples = 10;            // before, no latency is called unlikely
  static constexpr double kUnlikelyDeviations = 4;  // above the mean, as in RFC 6298

  explicit LatencyStatistics(std::size_t classes) : classes_(classes) {}

  // The work of a request: the client's estimate, or the mean where there is none.
  double WorkOf(std::optional<double> estimate_ms) const {
    return estimate_ms ? *estimate_ms : work_.samples > 0 ? work_.mean : 1;
  }
  void OnReceived(int request_class, std::optional<double> estimate_ms, double work_ms,
                  Duration latency_objective) {
    if (estimate_ms || work_.samples == 0) {
      work_.Add(work_ms);
      classes_[request_class].work.Add(work_ms);
    }
    objective_.Add(latency_objective.count());
  }
  void OnLatency(int request_class, double work_ms, double latency_ms) {
    classes_[request_class].latency.Add(latency_ms / WorkScale(request_class, work_ms));
  }

  // How much longer than the mean a request of its class takes by its work: proportional above the mean work,
  // half of it below.
  double WorkScale(int request_class, double work_ms) const {
    const double mean = classes_[request_class].work.mean;
    const double ratio = mean > 0 ? work_ms / mean : 1;
    return ratio > 1 ? ratio : 0.5 + 0.5 * ratio;
  }

  // Mean and deviation in ms, at a scale of 1.
  const RunningMean& LatencyOf(int request_class) const { return classes_[request_class].latency; }
  bool HasSamples(int request_class) const { return LatencyOf(request_class).samples >= kMinSamples; }
  // Answers take hardly longer than this; only where HasSamples.
  Duration UnlikelyLatency(int request_class, double work_ms) const {
    const RunningMean& latency = LatencyOf(request_class);
    return Duration((latency.mean + kUnlikelyDeviations * latency.deviation) *
                    WorkScale(request_class, work_ms));
  }
  // And usually not longer than this.
  Duration UsualLatency(int request_class, double work_ms) const {
    const RunningMean& latency = LatencyOf(request_class);
    return Duration((latency.mean + latency.deviation) * WorkScale(request_class, work_ms));
  }

  double mean_work_ms() const { return work_.mean; }
  double mean_objective_ms() const { return objective_.mean; }

 private:
  struct ClassStatistics {
    RunningMean latency, work;  // ms
  };
  std::vector<ClassStatistics> classes_;
  RunningMean work_, objective_;  // ms, of all classes
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_LATENCY_STATISTICS_H_
