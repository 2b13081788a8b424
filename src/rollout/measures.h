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
  kMissed,       // requests that were not served before their deadline
  kAboveMedian,  // served requests slower than the baseline's median
  kAboveTail,    // served requests slower than the baseline's 95th percentile
  kAttempts,     // attempts beyond the first, of which a request may have any number
};
inline constexpr std::size_t kMeasures = 4;
inline constexpr std::array<Measure, kMeasures> kAllMeasures = {Measure::kMissed, Measure::kAboveMedian,
                                                                Measure::kAboveTail, Measure::kAttempts};

// In the log and in a rollout's history.
const char* NameOf(Measure measure);

// `events` of a measure among `requests`.
struct MeasureCount {
  double requests = 0, events = 0;

  MeasureCount& operator+=(const MeasureCount& other) {
    requests += other.requests;
    events += other.events;
    return *this;
  }
};

class MeasureCounts {
 public:
  MeasureCount& operator[](Measure measure) { return counts_[static_cast<std::size_t>(measure)]; }
  const MeasureCount& operator[](Measure measure) const { return counts_[static_cast<std::size_t>(measure)]; }
  MeasureCounts& operator+=(const MeasureCounts& other);

 private:
  std::array<MeasureCount, kMeasures> counts_;
};

// The baseline's latencies of one request class, as buckets; nothing while it has too few requests.
struct LatencyThresholds {
  std::optional<int> median, tail;
};
LatencyThresholds ThresholdsOf(const LatencyHistogram& baseline);

MeasureCounts CountMeasures(const wire::Stratum& stratum, const LatencyThresholds& thresholds);

// The least difference that stops a rollout, per request: half of what must be detected, so that a difference
// of no consequence does not.
double MinDifference(Measure measure, const Guardrails& guardrails);

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_MEASURES_H_
