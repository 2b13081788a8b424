// SPDX-License-Identifier: Apache-2.0
#include "decision/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace copperpoint {
namespace {

// The mean latency of attempts may be at most this fraction of the mean latency objective.
constexpr double kMaxObjectiveFraction = 0.33;
// The mean latency of attempts may be at most this multiple of the uncongested latency.
constexpr double kMaxLatencyMultiple = 3;
// The number in flight varies like a Poisson variable; this many standard deviations are permitted.
constexpr double kDeviations = 1;
constexpr double kMinPerBackend = 3;         // attempts per backend, over all proxies, always permitted
constexpr double kMaxMinInFlight = 4;        // upper bound of MinInFlight(), reached without congestion
constexpr double kCongestionGain = 0.1;      // weight of one answer in the average
constexpr double kMaxCongestion = 16;        // upper bound of the ratio that one answer adds to the average
constexpr Duration kCongestionMemory{8000};  // time constant of the return to 1 without further answers

}  // namespace

bool ConcurrencyLimit::HasCapacity(const Inputs& inputs) const {
  const double always_permitted =
      std::max(MinInFlight(), kMinPerBackend * inputs.ready_capacity / inputs.proxy_count);
  const double useful_latency_ms = std::min(kMaxObjectiveFraction * inputs.mean_objective_ms,
                                            kMaxLatencyMultiple * inputs.uncongested_latency_ms);
  const double mean = inputs.answers_per_ms * useful_latency_ms;
  return in_flight_ - overdue_ < std::max(always_permitted, mean + kDeviations * std::sqrt(mean));
}

// Attempts that are permitted at any rate of answers: 4 up to a congestion of 1.5, falling to 1 at a
// congestion of 6. With many proxies this bounds the queues at the backends.
double ConcurrencyLimit::MinInFlight() const {
  return std::clamp(1.5 * kMaxMinInFlight / std::max(congestion_, 0.1), 1.0, kMaxMinInFlight);
}

void ConcurrencyLimit::OnLatency(double latency_ms, double uncongested_ms) {
  congestion_ += kCongestionGain * (std::min(latency_ms / uncongested_ms, kMaxCongestion) - congestion_);
}

void ConcurrencyLimit::Decay(Duration elapsed) {
  congestion_ += std::min(1.0, elapsed.count() / kCongestionMemory.count()) * (1 - congestion_);
}

}  // namespace copperpoint
