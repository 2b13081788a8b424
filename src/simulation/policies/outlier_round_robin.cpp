// SPDX-License-Identifier: Apache-2.0
#include "simulation/policies/outlier_round_robin.h"

#include <algorithm>

namespace copperpoint::simulation {
namespace {

// The names are those of gRFC A50.
constexpr Duration kInterval{10000};
constexpr Duration kBaseEjectionTime{30000};
constexpr Duration kMaxEjectionTime{300000};
constexpr double kMaxEjectionPercent = 10;
constexpr double kFailureThresholdPercent = 85;
constexpr int kMinimumHosts = 5;
constexpr int kRequestVolume = 50;
constexpr double kPercent = 100;

}  // namespace

void OutlierRoundRobin::OnCompleted(TimePoint /*now*/, int index, bool success, double /*duration_ms*/) {
  Host& host = HostAt(index);
  ++(success ? host.successes : host.failures);
}

int OutlierRoundRobin::Pick(TimePoint now, const std::vector<Candidate>& all, const std::vector<int>& ready,
                            const std::vector<int>& tried) {
  if (now - swept_at_ >= kInterval) Sweep(now, ready);
  in_service_.clear();
  for (const int index : ready) {
    if (!HostAt(index).ejected) in_service_.push_back(index);
  }
  return RoundRobin::Pick(now, all, in_service_.empty() ? ready : in_service_, tried);
}

bool OutlierRoundRobin::IsOutlier(const Host& host, int qualifying, int ejected, std::size_t ready) const {
  const int volume = host.volume();
  return qualifying >= kMinimumHosts && volume >= kRequestVolume &&
         kPercent * host.failures > kFailureThresholdPercent * volume &&
         kPercent * ejected < kMaxEjectionPercent * static_cast<double>(ready);
}

void OutlierRoundRobin::Sweep(TimePoint now, const std::vector<int>& ready) {
  swept_at_ = now;
  int qualifying = 0;
  int ejected = 0;
  for (const int index : ready) {
    qualifying += HostAt(index).volume() >= kRequestVolume;
    ejected += HostAt(index).ejected;
  }
  for (const int index : ready) {
    Host& host = HostAt(index);
    if (host.ejected) {
      const Duration ejection_time = std::min(kBaseEjectionTime * host.multiplier, kMaxEjectionTime);
      if (now - host.ejected_at >= ejection_time) host.ejected = false;
    } else if (IsOutlier(host, qualifying, ejected, ready.size())) {
      host.ejected = true;
      host.ejected_at = now;
      ++host.multiplier;
      ++ejected;
    } else if (host.multiplier > 0) {
      --host.multiplier;
    }
    host.successes = 0;
    host.failures = 0;
  }
}

}  // namespace copperpoint::simulation
