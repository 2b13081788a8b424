// SPDX-License-Identifier: Apache-2.0
#include "decision/outlier_detector.h"

#include <algorithm>
#include <cmath>

namespace copperpoint {
namespace {

// At low traffic, failures in a row that would coincide with a lower probability indicate a fault.
constexpr double kMaxChanceProbability = 0.01;
// Failures that are added to those of the other backends, so that their failure rate is never 0.
constexpr double kPriorFailures = 0.1;

}  // namespace

bool OutlierDetector::OnOutcome(BackendHealth& health, bool ready, bool success, TimePoint now,
                                Random& random) {
  ++(success ? health.successes : health.failures);
  backends_with_volume_ += health.attempts() == (low_traffic_ ? 1 : kRequestVolume);
  if (health.ejected) return false;
  failures_ += !success;
  ++attempts_;
  if (!IsOutlier(health)) return false;
  if (!(100.0 * ejected_ < kMaxEjectionPercent * ready_)) return false;
  if (!(100.0 * random.Unit() < kEnforcingPercent)) return false;
  ++health.ejection_multiplier;
  health.ejected = true;
  ejected_ += ready;  // a draining backend, which isn't ready, may still have attempts that fail
  failures_ -= health.failures;
  attempts_ -= health.attempts();
  const Duration base = interval_ * (kBaseEjectionTime / kInterval);
  health.ejected_until = now + std::min(base * health.ejection_multiplier, std::max(base, kMaxEjectionTime)) *
                                   (low_traffic_ ? 0.75 + 0.5 * random.Unit() : 1);
  next_return_at_ = std::min(next_return_at_, health.ejected_until);
  return true;
}

bool OutlierDetector::IsOutlier(const BackendHealth& health) const {
  if (backends_with_volume_ < kMinimumHosts) return false;
  const int other_failures = failures_ - health.failures, other_attempts = attempts_ - health.attempts();
  const double failing_elsewhere =
      other_attempts > 0 ? static_cast<double>(other_failures) / other_attempts : 0;
  // For a small fraction failing elsewhere, the threshold is twice that fraction. It stays below 1 while that
  // fraction is below 1, so that a backend at which all attempts fail is ejected.
  const double threshold = std::max(kThresholdFraction, failing_elsewhere * (2 - failing_elsewhere));
  if (health.attempts() < RequestVolume(other_failures, other_attempts)) return false;
  return health.failures > threshold * health.attempts();
}

// Returns how many attempts a backend must have had to be evaluated. At low traffic this is the number that
// all fail by chance with at most kMaxChanceProbability, given the fraction that fails at the other backends.
int OutlierDetector::RequestVolume(int other_failures, int other_attempts) const {
  if (!low_traffic_) return kRequestVolume;
  const double failing_elsewhere = (other_failures + kPriorFailures) / (other_attempts + 1);
  return failing_elsewhere >= 1
             ? kRequestVolume
             : std::min<int>(kRequestVolume,
                             std::ceil(std::log(kMaxChanceProbability) / std::log(failing_elsewhere)));
}

void OutlierDetector::Restore(BackendHealth& health, bool ready, const BackendSnapshot& snapshot,
                              TimePoint now) {
  health.ejection_multiplier = std::max(health.ejection_multiplier, snapshot.ejection_multiplier);
  if (health.ejected || !(snapshot.ejection_remaining.count() > 0)) return;
  health.ejected = true;
  health.ejected_until =
      now + std::min(snapshot.ejection_remaining, std::max(kBaseEjectionTime, kMaxEjectionTime));
  ejected_ += ready;
  failures_ -= health.failures;
  attempts_ -= health.attempts();
  next_return_at_ = std::min(next_return_at_, health.ejected_until);
}

bool OutlierDetector::ReturnIfDue(BackendHealth& health, bool ready, TimePoint now) {
  if (!health.ejected) return false;
  if (now < health.ejected_until) {
    next_return_at_ = std::min(next_return_at_, health.ejected_until);
    return false;
  }
  health.ejected = false;
  health.ejection_multiplier = std::max(0, health.ejection_multiplier - 1);
  ejected_ -= ready;
  failures_ += health.failures;
  attempts_ += health.attempts();
  return true;
}

bool OutlierDetector::TakeIntervalEnd(TimePoint now) {
  if (now < interval_end_) return false;
  interval_end_ = now + interval_;
  backends_with_volume_ = failures_ = attempts_ = 0;
  return true;
}

void OutlierDetector::EndInterval(BackendHealth& health) {
  health.successes = health.failures = 0;
  if (!health.ejected) health.ejection_multiplier = std::max(0, health.ejection_multiplier - 1);
}

void OutlierDetector::FitInterval(double requests_per_s, std::size_t backends) {
  const double volume_s = kRequestVolume * static_cast<double>(backends) / std::max(requests_per_s, 1e-9);
  interval_ = std::clamp(Duration(volume_s * 1000), kInterval, kMaxInterval);
  low_traffic_ = interval_ > kInterval;
}

}  // namespace copperpoint
