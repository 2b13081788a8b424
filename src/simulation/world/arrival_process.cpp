// SPDX-License-Identifier: Apache-2.0
#include "simulation/world/arrival_process.h"

#include <algorithm>
#include <cmath>
#include <numbers>

#include "simulation/world/arrival_replay.h"

namespace copperpoint::simulation {
namespace {

constexpr double kMsPerSecond = 1000;
constexpr double kQuotaBurstSeconds = 2;  // depth of a tenant's token bucket
constexpr double kMinQuotaBurst = 1;      // requests
constexpr double kMinPhaseSeconds = 0.05;
constexpr double kMinWorkMs = 1e-3;

template <typename Items>
std::vector<double> SharesOf(const Items& items) {
  std::vector<double> shares;
  shares.reserve(items.size());
  for (const auto& item : items) shares.push_back(item.share);
  return shares;
}

std::vector<double> ZoneShares(const Scenario& scenario) {
  std::vector<double> shares(static_cast<std::size_t>(scenario.fleet.zones), 1);
  shares[0] += scenario.fleet.zone_skew;
  return shares;
}

// Upper bound of the factor by which the arrival shape and traffic bursts raise the mean rate.
double MaxRateFactor(const Scenario& scenario) {
  double factor = scenario.load.shape == ArrivalShape::kSteady ? 1 : 1 + scenario.load.swing;
  for (const Fault& fault : scenario.faults) {
    if (fault.kind == FaultKind::kTrafficBurst) factor *= std::max(1.0, fault.size);
  }
  return factor;
}

double QuotaBurst(const Tenant& tenant) {
  return std::max(kMinQuotaBurst, kQuotaBurstSeconds * tenant.quota);
}

}  // namespace

ArrivalProcess::ArrivalProcess(const Scenario& scenario, const DrawnScenario& drawn)
    : scenario_(scenario),
      random_(drawn.seed, "arrivals"),
      attributes_(drawn.seed, "attributes"),
      keys_random_(drawn.seed, "keys"),
      classes_(SharesOf(scenario.classes)),
      tenants_(SharesOf(scenario.tenants)),
      zones_(ZoneShares(scenario)),
      rate_(scenario.Rate()),
      max_rate_(rate_ * MaxRateFactor(scenario)) {
  if (scenario.load.keys > 0) keys_.emplace(ZipfWeights(scenario.load.keys, scenario.load.zipf));
  if (!scenario.load.replay.empty()) replay_ = ReadArrivalReplay(scenario);
  for (const Tenant& tenant : scenario.tenants) quota_tokens_.push_back(QuotaBurst(tenant));
}

double ArrivalProcess::RateAt(double at_s) {
  double rate = rate_;
  const WorkloadSettings& load = scenario_.load;
  if (load.shape == ArrivalShape::kDaily) {
    rate *= 1 + load.swing * std::sin(2 * std::numbers::pi * at_s / load.period_s);
  } else if (load.shape == ArrivalShape::kBursty) {
    while (at_s >= phase_end_s_) {
      phase_end_s_ += std::max(kMinPhaseSeconds, attributes_.Exponential(load.period_s));
      phase_factor_ = attributes_.Between(1 - load.swing, 1 + load.swing);
    }
    rate *= phase_factor_;
  }
  for (const Fault& fault : scenario_.faults) {
    const bool active = at_s >= fault.at_s && at_s < fault.at_s + fault.for_s;
    if (fault.kind == FaultKind::kTrafficBurst && active) rate *= fault.size;
  }
  return rate;
}

double ArrivalProcess::DrawWorkMs(const RequestClass& request_class) {
  if (request_class.distribution == "constant") return request_class.work_ms;
  if (request_class.distribution == "exponential")
    return std::max(kMinWorkMs, attributes_.Exponential(request_class.work_ms));
  return attributes_.Lognormal(request_class.work_ms, request_class.work_cv);
}

// Draws from a Poisson process at the highest rate, and keeps each arrival with the probability of the
// current rate over that rate: thinning (Lewis and Shedler 1979).
bool ArrivalProcess::Draw(Arrival* arrival) {
  if (max_rate_ <= 0) return false;
  do {
    at_s_ += random_.Exponential(1 / max_rate_);
    if (at_s_ >= scenario_.length_s) return false;
  } while (random_.Unit() * max_rate_ >= RateAt(at_s_));
  arrival->at = FromMs(at_s_ * kMsPerSecond);
  arrival->request_class = static_cast<std::uint16_t>(classes_(attributes_));
  arrival->tenant = static_cast<std::uint16_t>(tenants_(attributes_));
  arrival->work_ms = static_cast<float>(DrawWorkMs(scenario_.classes[arrival->request_class]));
  if (keys_) arrival->key = (*keys_)(keys_random_) + 1;
  return true;
}

void ArrivalProcess::DrawClient(Arrival* arrival) {
  arrival->zone = static_cast<std::uint16_t>(zones_(attributes_));
  arrival->follows_retry_after = attributes_.Chance(scenario_.clients.retry_after_compliance);
  if (scenario_.load.hint_error < 0) return;
  const double error = std::exp(scenario_.load.hint_error * attributes_.Normal());
  arrival->estimated_work_ms = arrival->work_ms * static_cast<float>(error);
}

// Each tenant's quota is a token bucket. An arrival that finds less than one token in it is beyond the quota.
void ArrivalProcess::TakeFromQuota(Arrival* arrival) {
  const double at_s = ToMs(arrival->at) / kMsPerSecond;
  for (std::size_t i = 0; i < quota_tokens_.size(); ++i) {
    const Tenant& tenant = scenario_.tenants[i];
    const double refilled = quota_tokens_[i] + tenant.quota * (at_s - quota_tokens_at_s_);
    quota_tokens_[i] = std::min(QuotaBurst(tenant), refilled);
  }
  quota_tokens_at_s_ = at_s;
  if (scenario_.tenants[arrival->tenant].quota <= 0) return;
  double& tokens = quota_tokens_[arrival->tenant];
  arrival->over_quota = tokens < 1;
  if (!arrival->over_quota) tokens -= 1;
}

std::optional<Arrival> ArrivalProcess::NextReplayed() {
  if (replayed_ == replay_.size()) return std::nullopt;
  const Arrival& next = replay_[replayed_];
  if (ToMs(next.at) >= scenario_.length_s * kMsPerSecond) return std::nullopt;
  ++replayed_;
  return next;
}

std::optional<Arrival> ArrivalProcess::Next() {
  std::optional<Arrival> arrival;
  if (scenario_.load.replay.empty()) {
    arrival.emplace();
    if (!Draw(&*arrival)) return std::nullopt;
  } else {
    arrival = NextReplayed();
    if (!arrival) return std::nullopt;
  }
  DrawClient(&*arrival);
  TakeFromQuota(&*arrival);
  return arrival;
}

}  // namespace copperpoint::simulation
