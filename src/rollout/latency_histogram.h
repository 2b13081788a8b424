// SPDX-License-Identifier: Apache-2.0
//
// The latency buckets in which members count served requests, and a histogram of them.
#ifndef COPPERPOINT_ROLLOUT_LATENCY_HISTOGRAM_H_
#define COPPERPOINT_ROLLOUT_LATENCY_HISTOGRAM_H_

#include <array>
#include <cstddef>
#include <optional>

#include "rollout.pb.h"

namespace copperpoint::rollout {

// The first bucket ends at 1 ms, the end of each further one is 1.25 times that of the previous one, and the
// last one has no end. The bounds are fixed: members of different program versions compare these buckets.
inline constexpr std::size_t kLatencyBuckets = 33;
std::size_t LatencyBucketOf(double latency_ms);

class LatencyHistogram {
 public:
  void Add(const wire::Stratum& stratum);
  void Add(const LatencyHistogram& other);

  // Returns the first bucket with at most `fraction` of the requests above it; nothing if the histogram has
  // fewer than kMinRequests (latency_histogram.cpp) requests.
  std::optional<int> BucketWithFractionAbove(double fraction) const;

 private:
  std::array<double, kLatencyBuckets> requests_{};
};

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_LATENCY_HISTOGRAM_H_
