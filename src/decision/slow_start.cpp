// SPDX-License-Identifier: Apache-2.0
#include "decision/slow_start.h"

namespace copperpoint {
namespace {

// Fraction of the overload factor that is used; the rest covers random variation and proxies with outdated
// endpoint lists. Lower values of this and of kMaxSubsetMultiple make slow start gentler.
constexpr double kBudgetFraction = 0.6;
// Upper bound of kBudgetFraction times the overload factor if only some proxies send to a backend.
constexpr double kMaxSubsetMultiple = 0.75;
// The rate per backend is computed for at least this fraction of the recent mean number in service.
constexpr double kMinServingFraction = 0.5;
// A warm backend has at least this many standard cores. A lower value lowers the least rate.
constexpr double kMinWarmCores = 0.25;
constexpr double kWindowSlack = 1.1;  // factor on the overload window that allows for delays

}  // namespace

SlowStart::SlowStart(const Settings& settings)
    : slow_start_window_(settings.slow_start_window),
      overload_window_(settings.overload_window),
      min_capacity_(settings.slow_start_min_capacity),
      overload_factor_(settings.overload_factor),
      proxy_count_(settings.proxy_count) {}

Duration SlowStart::Window() const { return overload_window_ * kWindowSlack; }

bool SlowStart::HasBudget(BackendState& backend, double work_ms, const Budget& budget, TimePoint now) const {
  const Duration window = Window();
  const double sent_ms = backend.slow_start.sent.Within(now, window);
  if (!budget.in_subset) return false;
  // With subsets, only some of the proxies send to a backend, and each may send proportionally more. The warm
  // rate is that of the mean machine: a machine of a slow kind gets less, one of a fast kind no
  // more than a mean one.
  const double multiple = kBudgetFraction * overload_factor_;
  const double per_slot = budget.backends_per_subset_slot;
  const double rate =
      (per_slot > 1 ? std::min(kMaxSubsetMultiple, multiple) * per_slot : multiple) *
      budget.capacity_fraction * warm_rate_ *
      std::min(1.0, kinds_.RelativeRate(backend.endpoint.kind, kMinOutcomes * budget.mean_work_ms));
  if (sent_ms + work_ms <= rate * overload_window_.count()) return true;
  // A request that exceeds the budget may be sent once enough time has passed since the last one.
  const double min_rate = overload_factor_ * min_capacity_ * kMinWarmCores * per_slot / proxy_count_;
  const double paying_rate = std::max(rate, min_rate);
  return paying_rate > 0 &&
         now - backend.slow_start.last_sent >=
             backend.slow_start.wait_fraction * std::max(window, Duration(work_ms / paying_rate));
}

void SlowStart::OnStarted(SlowStartState& state, TimePoint now, Random& random) const {
  state.sent.Clear();
  state.last_sent = now;
  state.wait_fraction = random.Unit();
}

void SlowStart::OnSent(SlowStartState& state, bool warming_up, double work_ms, TimePoint now) {
  if (warming_up) state.sent.Add(now, work_ms);
  state.last_sent = now;
  state.wait_fraction = 1;
}

// The rate is computed over all backends, as one backend has too few outcomes. It rises at once and falls
// slowly: while a rolling deployment leaves no warm backend, budgets that followed the present rate would
// each lower the next rate further. After the loss of most backends, the remaining ones can't serve the work
// of all; mean_in_service then keeps the rate per backend from rising.
void SlowStart::UpdateWarmRate(const ServiceRates& rates, Duration elapsed) {
  if (rates.in_service <= 0) return;
  // A proxy that has just started has too few outcomes, and uses the work that it receives.
  const double served =
      outcomes_ < kMinOutcomes ? std::max(rates.served_work, rates.received_work) : rates.served_work;
  const double current_rate =
      served / std::max(rates.in_service, kMinServingFraction * rates.mean_in_service);
  warm_rate_ += std::min(1.0, elapsed / kWarmRateMemory) * (current_rate - warm_rate_);
  warm_rate_ = std::max(warm_rate_, current_rate);
}

}  // namespace copperpoint
