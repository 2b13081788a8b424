// SPDX-License-Identifier: Apache-2.0
#include "rollout/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace copperpoint::rollout {
namespace {

constexpr double kBucketRatio = 1.25;  // The ratio between the ends of successive buckets.
constexpr double kRounding = 1e-9;     // Tolerance for a latency that equals the end of a bucket.
constexpr double kMinRequests = 50;    // A histogram with fewer requests has no thresholds.

}  // namespace

std::size_t LatencyBucketOf(double latency_ms) {
  if (!(latency_ms > 1)) return 0;
  return std::min(
      kLatencyBuckets - 1,
      static_cast<std::size_t>(std::ceil(std::log(latency_ms) / std::log(kBucketRatio) - kRounding)));
}

void LatencyHistogram::Add(const wire::Stratum& stratum) {
  for (int i = 0; i < stratum.latency_buckets_size() && i < static_cast<int>(kLatencyBuckets); ++i)
    requests_[static_cast<std::size_t>(i)] += stratum.latency_buckets(i);
}

void LatencyHistogram::Add(const LatencyHistogram& other) {
  for (std::size_t i = 0; i < kLatencyBuckets; ++i) requests_[i] += other.requests_[i];
}

std::optional<int> LatencyHistogram::BucketWithFractionAbove(double fraction) const {
  double total = 0;
  for (const double requests : requests_) total += requests;
  if (total < kMinRequests) return std::nullopt;
  double above = total;
  for (std::size_t i = 0; i < requests_.size(); ++i) {
    above -= requests_[i];
    if (above <= fraction * total) return static_cast<int>(i);
  }
  return std::nullopt;
}

}  // namespace copperpoint::rollout
