// SPDX-License-Identifier: Apache-2.0
#include "simulation/report/latency_histogram.h"

#include <cmath>

namespace copperpoint::simulation {
namespace {

constexpr double kMinMs = 0.01;
constexpr double kMaxMs = 1e6;
constexpr unsigned kBins = 1851;  // each about 1% wider than the previous one

}  // namespace

LatencyHistogram::LatencyHistogram()
    : histogram_(boost::histogram::make_histogram_with(boost::histogram::dense_storage<std::uint64_t>(),
                                                       Axis(kBins, kMinMs, kMaxMs))) {}

void LatencyHistogram::Add(double ms) {
  histogram_(ms);
  sum_ms_ += ms;
}

double LatencyHistogram::Mean() const { return count() > 0 ? sum_ms_ / static_cast<double>(count()) : 0; }

std::int64_t LatencyHistogram::count() const {
  std::uint64_t sum = 0;
  for (const std::uint64_t bin : histogram_) sum += bin;  // includes the underflow and overflow bins
  return static_cast<std::int64_t>(sum);
}

double LatencyHistogram::Quantile(double q) const {
  const double target = q * static_cast<double>(count());
  if (target <= 0) return 0;
  double cumulative_count = 0;
  const Axis& axis = histogram_.axis();
  for (int i = -1; i <= axis.size(); ++i) {  // from the underflow to the overflow bin
    cumulative_count += static_cast<double>(histogram_.at(i));
    if (cumulative_count < target) continue;
    const double low = i < 0 ? kMinMs : axis.value(i);
    const double high = i >= axis.size() ? kMaxMs : axis.value(i + 1);
    return std::sqrt(low * high);
  }
  return kMaxMs;
}

}  // namespace copperpoint::simulation
