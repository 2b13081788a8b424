// SPDX-License-Identifier: Apache-2.0
#include "simulation/policies/latency_pickers.h"

#include <algorithm>
#include <cmath>

namespace copperpoint::simulation {
namespace {

constexpr double kDecayMs = 10000;
// Added to the cost of a backend that has requests in flight and never responded.
constexpr double kUnansweredPenalty = 1e9;
constexpr double kBackendSmoothing = 0.1;  // weight of the latest response in a mean
constexpr double kOverallSmoothing = 0.01;
constexpr double kDefaultLatencyMs = 1;
constexpr double kMinLatencyMs = 0.01;

}  // namespace

void PeakEwma::OnCompleted(TimePoint now, int index, bool /*success*/, double duration_ms) {
  Average& average = averages_[static_cast<std::size_t>(index)];
  const double elapsed_ms = std::max(0.0, (now - average.at).count());
  const double decay = std::exp(-elapsed_ms / kDecayMs);
  average.cost_ms =
      duration_ms > average.cost_ms ? duration_ms : average.cost_ms * decay + duration_ms * (1 - decay);
  average.at = now;
}

double PeakEwma::Cost(TimePoint now, const Candidate& backend, int index) const {
  const Average& average = averages_[static_cast<std::size_t>(index)];
  if (average.cost_ms == 0 && backend.in_flight > 0) return kUnansweredPenalty + backend.in_flight;
  const double idle_ms = std::max(0.0, (now - average.at).count());
  return average.cost_ms * std::exp(-idle_ms / kDecayMs) * (backend.in_flight + 1);
}

void LatencyWeighted::OnCompleted(TimePoint /*now*/, int index, bool /*success*/, double duration_ms) {
  double& mean = mean_ms_[static_cast<std::size_t>(index)];
  mean = mean == 0 ? duration_ms : mean + kBackendSmoothing * (duration_ms - mean);
  overall_mean_ms_ = overall_mean_ms_ == 0
                         ? duration_ms
                         : overall_mean_ms_ + kOverallSmoothing * (duration_ms - overall_mean_ms_);
}

int LatencyWeighted::Pick(TimePoint /*now*/, const std::vector<Candidate>& /*all*/,
                          const std::vector<int>& ready, const std::vector<int>& tried) {
  if (ready.empty()) return -1;
  double sum = 0;
  for (const int index : ready) sum += Weight(index);
  double at = random().Unit() * sum;
  for (const int index : ready) {
    at -= Weight(index);
    if (at < 0) return WasTried(tried, index) ? Draw(ready, tried) : index;
  }
  return ready.back();
}

double LatencyWeighted::Weight(int index) const {
  double latency_ms = mean_ms_[static_cast<std::size_t>(index)];
  if (latency_ms <= 0) latency_ms = overall_mean_ms_ > 0 ? overall_mean_ms_ : kDefaultLatencyMs;
  return 1 / std::max(latency_ms, kMinLatencyMs);
}

}  // namespace copperpoint::simulation
