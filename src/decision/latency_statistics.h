// SPDX-License-Identifier: Apache-2.0
//
// Statistics of each class: the work of its requests, their latency, and the latency that is rarely exceeded.
#ifndef COPPERPOINT_DECISION_LATENCY_STATISTICS_H_
#define COPPERPOINT_DECISION_LATENCY_STATISTICS_H_

#include <algorithm>
#include <optional>
#include <vector>

#include "copperpoint/balancer.h"
#include "decision/running_mean.h"

namespace copperpoint {

// Owns the averages of all classes. Latencies are divided by WorkScale before they are averaged, so that
// requests of different work are comparable.
class LatencyStatistics {
 public:
  static constexpr int kMinSamples = 10;            // with fewer samples, UnlikelyLatency isn't used
  static constexpr double kUnlikelyDeviations = 4;  // mean deviations above the mean, as in RFC 6298

  explicit LatencyStatistics(std::size_t classes) : classes_(classes) {}

  // Returns the work of a request in ms: the client's estimate, or the mean if there is none.
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

  // Returns the expected latency of a request as a multiple of the mean of its class. Above the mean work it
  // is proportional to the work; below, half of the latency is.
  double WorkScale(int request_class, double work_ms) const {
    const double mean = classes_[request_class].work.mean;
    const double ratio = mean > 0 ? work_ms / mean : 1;
    return ratio > 1 ? ratio : 0.5 + 0.5 * ratio;
  }

  // Returns the latency of the class, in ms, for a request with a WorkScale of 1.
  const RunningMean& LatencyOf(int request_class) const { return classes_[request_class].latency; }
  bool HasSamples(int request_class) const { return LatencyOf(request_class).samples >= kMinSamples; }
  // Returns a latency that answers rarely exceed. Requires HasSamples.
  Duration UnlikelyLatency(int request_class, double work_ms) const {
    const RunningMean& latency = LatencyOf(request_class);
    return Duration((latency.mean + kUnlikelyDeviations * latency.deviation) *
                    WorkScale(request_class, work_ms));
  }
  // Returns a latency that answers usually don't exceed: the mean plus one deviation.
  Duration UsualLatency(int request_class, double work_ms) const {
    const RunningMean& latency = LatencyOf(request_class);
    return Duration((latency.mean + latency.deviation) * WorkScale(request_class, work_ms));
  }

  double mean_work_ms() const { return work_.mean; }
  double mean_objective_ms() const { return objective_.mean; }

 private:
  struct ClassStatistics {
    RunningMean latency, work;  // in ms
  };
  std::vector<ClassStatistics> classes_;
  RunningMean work_, objective_;  // over all classes, in ms
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_LATENCY_STATISTICS_H_
