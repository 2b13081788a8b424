// SPDX-License-Identifier: Apache-2.0
//
// Decides how much work a backend that has just started gets: the slow start budget.
#ifndef COPPERPOINT_DECISION_SLOW_START_H_
#define COPPERPOINT_DECISION_SLOW_START_H_

#include <algorithm>

#include "copperpoint/balancer.h"
#include "decision/backend_state.h"
#include "decision/machine_kind_rates.h"
#include "decision/random.h"

namespace copperpoint {

// A starting backend has slow_start_min_capacity of its capacity, growing to all of it over
// slow_start_window, and fails when all proxies together send it more than overload_factor times that within
// overload_window. A proxy sends it, within that window, its capacity fraction of the work that a warm
// backend serves for this proxy; if all proxies do so, the sum is that fraction of what a warm backend can
// serve, whatever part of the traffic each proxy has. Work sent is no measure, since overloaded
// backends are sent far more than they can serve.
//
// Where that budget is less than one request, a request may go once the budget has paid for it, the first at
// a random part of that time: otherwise hundreds of proxies would send their first request at once.
//
// Owns SlowStartState of all backends and the rate at which warm backends serve.
class SlowStart {
 public:
  explicit SlowStart(const Settings& settings);

  // The slow start ramp: linear from min_capacity at the start of the backend's process to 1 after
  // slow_start_window.
  double CapacityFraction(const Endpoint& endpoint, TimePoint now) const {
    if (endpoint.up_since.time_since_epoch().count() <= 0) return 1;
    const double age_ms = (now - endpoint.up_since).count();
    const double window_ms = slow_start_window_.count();
    if (window_ms <= 0 || age_ms >= window_ms) return 1;
    return min_capacity_ + (1 - min_capacity_) * std::max(0.0, age_ms) / window_ms;
  }

  // What the budget of a backend depends on beside its own state.
  struct Budget {
    double capacity_fraction = 1;
    bool in_subset = true;                // backends outside of this proxy's subset get nothing
    double backends_per_subset_slot = 1;  // ready backends over those in the subset
    double mean_work_ms = 0;              // of a request
  };
  // Whether a request of `work_ms` may be sent to a backend that is warming up.
  bool HasBudget(BackendState& backend, double work_ms, const Budget& budget, TimePoint now) const;

  void OnStarted(SlowStartState& state, TimePoint now, Random& random) const;
  // Each attempt; `warming_up`: its backend's capacity fraction is below 1.
  static void OnSent(SlowStartState& state, bool warming_up, double work_ms, TimePoint now);
  void Restore(SlowStartState& state, double work_ms, TimePoint now) const { state.sent.Add(now, work_ms); }
  // Work in ms that was sent within the window, for a successor of this process.
  double SentWorkMs(SlowStartState& state, TimePoint now) const { return state.sent.Within(now, Window()); }

  // An attempt ended with an outcome that reflects its backend's health; a warm backend of this kind served
  // work.
  void OnOutcome() { outcomes_ = std::min(kMinOutcomes, outcomes_ + 1); }
  void OnServedWarm(int kind, double work_ms) { kinds_.OnServed(kind, work_ms); }
  // A warm backend of this kind was in service for `elapsed_ms`.
  void OnWarmInService(int kind, double elapsed_ms) { kinds_.OnInService(kind, elapsed_ms); }
  void DecayKinds(Duration elapsed) { kinds_.Decay(elapsed); }

  // Of this proxy, of late.
  struct ServiceRates {
    double served_work = 0, received_work = 0;  // ms of work a ms
    double in_service = 0;       // backends in service, one that is warming up as the root of its fraction
    double mean_in_service = 0;  // the same, averaged over the time in which the work was served
  };
  void UpdateWarmRate(const ServiceRates& rates, Duration elapsed);

 private:
  static constexpr int kMinOutcomes = 10;
  static constexpr Duration kWarmRateMemory{30000};

  Duration Window() const;

  const Duration slow_start_window_, overload_window_;
  const double min_capacity_, overload_factor_;
  const int proxy_count_;
  double warm_rate_ = 0;  // ms of work that a warm backend serves a ms for this proxy
  int outcomes_ = 0;      // up to kMinOutcomes
  MachineKindRates kinds_{kWarmRateMemory};
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_SLOW_START_H_
