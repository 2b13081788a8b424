// SPDX-License-Identifier: Apache-2.0
#include "decision/load_shedder.h"

#include <cmath>

namespace copperpoint {
namespace {

constexpr double kSheddingExponent = 2;    // the admitted fraction is the pressure to minus this power
constexpr double kGain = 0.05;             // weight of one answer in the average
constexpr double kNoCapacityFraction = 1;  // fraction of its objective that a request without capacity took
constexpr double kMaxFraction = 16;        // upper bound of the fraction that one answer adds to the average
constexpr Duration kMemory{8000};          // time constant of the decay without further answers

}  // namespace

bool LoadShedder::ShouldShed(const Arrival& arrival, bool concurrency_limit_suffices, Random& random) const {
  const double pressure_now = pressure();
  if (concurrency_limit_suffices || pressure_now <= 1) return false;
  // The position of the logical request in [0, 1), which is the same at every proxy. Requests above the
  // admitted fraction are shed. Without a work estimate, all requests of a key have the same fingerprint, so
  // that the same keys would always be shed: their position is random.
  const double position = arrival.has_work_estimate
                              ? MixBits(static_cast<std::uint32_t>(arrival.fingerprint)) * 0x1.0p-32
                              : random.Unit();
  return position > std::pow(pressure_now, arrival.over_quota ? -2 * kSheddingExponent : -kSheddingExponent);
}

void LoadShedder::OnLatency(double latency_ms, Duration latency_objective) {
  objective_fraction_ +=
      kGain * (std::min(latency_ms / latency_objective.count(), kMaxFraction) - objective_fraction_);
}

void LoadShedder::OnNoCapacity() {
  objective_fraction_ += kGain * (kNoCapacityFraction - objective_fraction_);
}

void LoadShedder::Decay(Duration elapsed) {
  objective_fraction_ -= std::min(1.0, elapsed.count() / kMemory.count()) * objective_fraction_;
}

Duration RetryAfterFor(Duration deadline, Duration max_retry_after, int client_attempts, Random& random) {
  if (max_retry_after >= deadline || max_retry_after <= Duration(0))
    return std::min(max_retry_after, deadline);
  return max_retry_after * std::min(1.0, 0.9 + 0.1 * (random.Unit() + client_attempts - 1));
}

}  // namespace copperpoint
