// SPDX-License-Identifier: Apache-2.0
#include "rollout/measures.h"

#include <algorithm>

namespace copperpoint::rollout {
namespace {

// The fractions of the baseline's requests that are above the thresholds.
constexpr double kMedian = 0.5, kTail = 0.05;

// Counts the requests in buckets above `threshold`; nothing without a threshold.
MeasureCount CountAbove(std::optional<int> threshold, const wire::Stratum& stratum) {
  MeasureCount count;
  if (!threshold) return count;
  for (int i = 0; i < stratum.latency_buckets_size(); ++i) {
    const double requests = stratum.latency_buckets(i);
    count.requests += requests;
    if (i > *threshold) count.events += requests;
  }
  return count;
}

}  // namespace

const char* NameOf(Measure measure) {
  switch (measure) {
    case Measure::kMissed:
      return "missed";
    case Measure::kAboveMedian:
      return "slow";
    case Measure::kAboveTail:
      return "tail";
    case Measure::kAttempts:
      return "attempts";
  }
  return "unknown";
}

MeasureCounts& MeasureCounts::operator+=(const MeasureCounts& other) {
  for (const Measure measure : kAllMeasures) (*this)[measure] += other[measure];
  return *this;
}

LatencyThresholds ThresholdsOf(const LatencyHistogram& baseline) {
  return {baseline.BucketWithFractionAbove(kMedian), baseline.BucketWithFractionAbove(kTail)};
}

MeasureCounts CountMeasures(const wire::Stratum& stratum, const LatencyThresholds& thresholds) {
  const auto requests = static_cast<double>(stratum.requests());
  MeasureCounts counts;
  counts[Measure::kMissed] = {requests, static_cast<double>(stratum.missed())};
  counts[Measure::kAttempts] = {requests, std::max(0.0, static_cast<double>(stratum.attempts()) - requests)};
  counts[Measure::kAboveMedian] = CountAbove(thresholds.median, stratum);
  counts[Measure::kAboveTail] = CountAbove(thresholds.tail, stratum);
  return counts;
}

double MinDifference(Measure measure, const Guardrails& guardrails) {
  switch (measure) {
    case Measure::kMissed:
      return guardrails.missed_fraction / 2;
    case Measure::kAboveMedian:
      return guardrails.above_median_fraction / 2;
    case Measure::kAboveTail:
      return guardrails.above_tail_fraction / 2;
    case Measure::kAttempts:
      return guardrails.attempts_per_request / 2;
  }
  return 0;
}

}  // namespace copperpoint::rollout
