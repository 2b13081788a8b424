// SPDX-License-Identifier: Apache-2.0
//
// The latency buckets in which members count served requests, and a histogram over them.
#ifndef COPPERPOINT_ROLLOUT_LATENCY_HISTOGRAM_H_
#define COPPERPOINT_ROLLOUT_LATENCY_HISTOGRAM_H_

#include <array>
#include <cstddef>
#include <optional>

#include "rollout.pb.h"

namespace copperpoint::rollout {

// The first bucket ends at 1 ms and each further one a quarter higher; the last one has no end. Members of
// different versions of the program compare these buckets.
inline constexpr std::size_t kLatencyBuckets = 33;
std::size_t LatencyBucketOf(double latency_ms);

class LatencyHistogram {
 public:
  void Add(const wire::Stratum& stratum);
  void Add(const LatencyHistogram& other);

  // The first bucket with at most `fraction` of the requests above it; nothing below kMinRequests
  // (latency_histogram.cpp) requests.
  std::optional<int> BucketWithFractionAbove(double fraction) const;

 private:
  std::array<double, kLatencyBuckets> requests_{};
};

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_LATENCY_HISTOGRAM_H_
