// SPDX-License-Identifier: Apache-2.0
//
// The measures by which canaries and baseline are compared, and how they are counted from what a member
// reports.
#ifndef COPPERPOINT_ROLLOUT_MEASURES_H_
#define COPPERPOINT_ROLLOUT_MEASURES_H_

#include <array>
#include <cstddef>
#include <optional>

#include "rollout.pb.h"
#include "rollout/latency_histogram.h"
#include "rollout/plan.h"

namespace copperpoint::rollout {

enum class Measure {
  kMissed,       // Requests that were not served before their deadline.
  kAboveMedian,  // Served requests slower than the baseline's median.
  kAboveTail,    // Served requests slower than the baseline's 95th percentile.
  kAttempts,     // Attempts beyond the first, of which a request may have any number.
};
inline constexpr std::size_t kMeasures = 4;
inline constexpr std::array<Measure, kMeasures> kAllMeasures = {Measure::kMissed, Measure::kAboveMedian,
                                                                Measure::kAboveTail, Measure::kAttempts};

// Returns the measure's name in the log and in a rollout's history.
const char* NameOf(Measure measure);

// The number of events of one measure, and the number of requests among which they were counted.
struct MeasureCount {
  double requests = 0, events = 0;

  MeasureCount& operator+=(const MeasureCount& other) {
    requests += other.requests;
    events += other.events;
    return *this;
  }
};

// One count for each measure.
class MeasureCounts {
 public:
  MeasureCount& operator[](Measure measure) { return counts_[static_cast<std::size_t>(measure)]; }
  const MeasureCount& operator[](Measure measure) const { return counts_[static_cast<std::size_t>(measure)]; }
  MeasureCounts& operator+=(const MeasureCounts& other);

 private:
  std::array<MeasureCount, kMeasures> counts_;
};

// The baseline's median and 95th percentile of one request class, as indexes of latency buckets. Both are
// empty while the baseline has too few requests (latency_histogram.h).
struct LatencyThresholds {
  std::optional<int> median, tail;
};
LatencyThresholds ThresholdsOf(const LatencyHistogram& baseline);

// Counts the events of every measure in `stratum`. Responses are slow if their bucket is above the threshold.
MeasureCounts CountMeasures(const wire::Stratum& stratum, const LatencyThresholds& thresholds);

// Returns the smallest difference in events per request that stops a rollout. It is half of the difference
// that must be detected, so that an insignificant difference does not stop the rollout.
double MinDifference(Measure measure, const Guardrails& guardrails);

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_MEASURES_H_
