// SPDX-License-Identifier: Apache-2.0
//
// Decides how much work a backend gets after its start: the slow start budget.
#ifndef COPPERPOINT_DECISION_SLOW_START_H_
#define COPPERPOINT_DECISION_SLOW_START_H_

#include <algorithm>

#include "copperpoint/balancer.h"
#include "decision/backend_state.h"
#include "decision/machine_kind_rates.h"
#include "decision/random.h"

namespace copperpoint {

// A starting backend has the fraction slow_start_min_capacity of its capacity, which grows to 1 over
// slow_start_window. It fails when all proxies together send it more than overload_factor times its present
// capacity within overload_window. Each proxy's budget for that window is the backend's capacity fraction
// times the work that a warm backend serves for this proxy, times kBudgetFraction * overload_factor. The sum
// over all proxies thus stays below the overload, whatever part of the traffic each proxy has. The budget
// follows work served and not work sent, since overloaded backends are sent far more than they can serve.
//
// A request that exceeds the budget may be sent once the time since the last one is at least
// max(window, its work / the budget's rate), where the rate has a lower bound. For the first request, a
// random part of that time is enough; otherwise hundreds of proxies would send their first request at once.
//
// Owns the rate at which warm backends serve; the state of each backend is BackendState::slow_start.
class SlowStart {
 public:
  explicit SlowStart(const Settings& settings);

  // Returns the fraction of its capacity that a backend has: it rises linearly from slow_start_min_capacity
  // at the start of the backend's process to 1 after slow_start_window.
  double CapacityFraction(const Endpoint& endpoint, TimePoint now) const {
    if (endpoint.up_since.time_since_epoch().count() <= 0) return 1;
    const double age_ms = (now - endpoint.up_since).count();
    const double window_ms = slow_start_window_.count();
    if (window_ms <= 0 || age_ms >= window_ms) return 1;
    return min_capacity_ + (1 - min_capacity_) * std::max(0.0, age_ms) / window_ms;
  }

  // The inputs to the budget of a backend beside its own state.
  struct Budget {
    double capacity_fraction = 1;
    bool in_subset = true;                // a backend outside of this proxy's subset has no budget
    double backends_per_subset_slot = 1;  // number of ready backends / number of those in the subset
    double mean_work_ms = 0;              // mean work of a request
  };
  // Returns whether a request of `work_ms` may be sent to a backend that is warming up.
  bool HasBudget(BackendState& backend, double work_ms, const Budget& budget, TimePoint now) const;

  // Begins the slow start of a backend that was listed for the first time or whose process was started anew.
  void OnStarted(SlowStartState& state, TimePoint now, Random& random) const;
  // Records the start of an attempt. `warming_up`: the capacity fraction of its backend is below 1.
  static void OnSent(SlowStartState& state, bool warming_up, double work_ms, TimePoint now);
  // Adopts the work that the predecessor of this process has sent within the window, in ms.
  void Restore(SlowStartState& state, double work_ms, TimePoint now) const { state.sent.Add(now, work_ms); }
  // Returns the work that was sent within the window, in ms, for the successor of this process.
  double SentWorkMs(SlowStartState& state, TimePoint now) const { return state.sent.Within(now, Window()); }

  // Records an attempt that ended with an outcome which reflects its backend's health.
  void OnOutcome() { outcomes_ = std::min(kMinOutcomes, outcomes_ + 1); }
  // Records work that a warm backend of this machine kind has served.
  void OnServedWarm(int kind, double work_ms) { kinds_.OnServed(kind, work_ms); }
  // Records that a warm backend of this machine kind was in service for `elapsed_ms`.
  void OnWarmInService(int kind, double elapsed_ms) { kinds_.OnInService(kind, elapsed_ms); }
  void DecayKinds(Duration elapsed) { kinds_.Decay(elapsed); }

  // Recent rates of this proxy.
  struct ServiceRates {
    double served_work = 0, received_work = 0;  // ms of work per ms
    double in_service = 0;                      // BackendSetCapacity::in_service
    double mean_in_service = 0;  // the mean of in_service over the time in which the work was served
  };
  // Updates the rate at which a warm backend serves, for the last `elapsed`.
  void UpdateWarmRate(const ServiceRates& rates, Duration elapsed);

 private:
  static constexpr int kMinOutcomes = 10;            // with fewer, served work is no reliable rate
  static constexpr Duration kWarmRateMemory{30000};  // time constant with which warm_rate_ falls

  Duration Window() const;

  const Duration slow_start_window_, overload_window_;
  const double min_capacity_, overload_factor_;
  const int proxy_count_;
  double warm_rate_ = 0;  // ms of work per ms that a warm backend serves for this proxy
  int outcomes_ = 0;      // outcomes recorded, at most kMinOutcomes
  MachineKindRates kinds_{kWarmRateMemory};
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_SLOW_START_H_
