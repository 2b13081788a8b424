// SPDX-License-Identifier: Apache-2.0
//
// Decides which backends are ejected because their attempts fail, and when they return: outlier detection by
// failure percentage, gRFC A50 (https://github.com/grpc/proposal/blob/master/A50-xds-outlier-detection.md).
#ifndef COPPERPOINT_DECISION_OUTLIER_DETECTOR_H_
#define COPPERPOINT_DECISION_OUTLIER_DETECTOR_H_

#include <cstddef>

#include "copperpoint/balancer.h"
#include "decision/backend_state.h"
#include "decision/never.h"
#include "decision/random.h"

namespace copperpoint {

// The constants have the names of the fields of A50's configuration. Differences from A50:
// - A backend is evaluated at each outcome, not at the end of the interval.
// - The threshold rises with the failure percentage of the other backends: under overload all backends fail,
//   and must not be ejected one after the other.
// - At low traffic (request_volume is not reached at each backend within kInterval) the interval is longer,
//   the volume is lower (see RequestVolume), and ejection times are jittered, so that the proxies don't all
//   send to a backend again at the same time.
//
// Owns BackendHealth of all backends and the sums over them, so that an outcome needs no scan of them.
class OutlierDetector {
 public:
  static constexpr Duration kInterval{2000};
  static constexpr Duration kMaxInterval{10000};  // upper bound at low traffic; A50's default interval
  static constexpr Duration kBaseEjectionTime{2000};
  static constexpr Duration kMaxEjectionTime{16000};
  static constexpr int kRequestVolume = 3;  // attempts; low, since a proxy sends few to each backend
  static constexpr int kMinimumHosts = 2;   // backends that must have had request_volume attempts
  static constexpr double kThresholdFraction = 0.4;
  static constexpr double kMaxEjectionPercent = 50;
  static constexpr double kEnforcingPercent = 100;

  // Counts the outcome of an attempt and evaluates its backend. Returns true if the backend was ejected.
  // `ready`: the backend is listed as ready.
  bool OnOutcome(BackendHealth& health, bool ready, bool success, TimePoint now, Random& random);

  // Changes the number of ready backends by `ready` and the number of ejected ones among them by `ejected`.
  void OnReadyChanged(int ready, int ejected) {
    ready_ += ready;
    ejected_ += ejected;
  }

  // Adopts the ejection that the predecessor of this process exported.
  void Restore(BackendHealth& health, bool ready, const BackendSnapshot& snapshot, TimePoint now);

  // Ends the ejection if its time is over, and returns whether it did. To recompute next_return_at(), call
  // ResetNextReturn and then this for all backends.
  bool ReturnIfDue(BackendHealth& health, bool ready, TimePoint now);
  void ResetNextReturn() { next_return_at_ = kNever; }
  TimePoint next_return_at() const { return next_return_at_; }

  // Returns true once when the interval is over. The caller then has to call EndInterval for all backends.
  bool TakeIntervalEnd(TimePoint now);
  static void EndInterval(BackendHealth& health);

  // Adapts the interval, and whether traffic is low, to this proxy's request rate, spread over `backends`.
  void FitInterval(double requests_per_s, std::size_t backends);
  // Returns the number of backends that can be evaluated at this request rate, since each gets request_volume
  // attempts within kInterval.
  static std::size_t EvaluableBackends(double requests_per_s) {
    return static_cast<std::size_t>(requests_per_s * kInterval.count() / 1000 / kRequestVolume);
  }
  bool low_traffic() const { return low_traffic_; }

 private:
  bool IsOutlier(const BackendHealth& health) const;
  int RequestVolume(int other_failures, int other_attempts) const;

  int ready_ = 0, ejected_ = 0;  // ready backends; the ejected ones among them
  // Of this interval: backends with request_volume attempts; failures and attempts at backends that are not
  // ejected.
  int backends_with_volume_ = 0, failures_ = 0, attempts_ = 0;
  Duration interval_{kInterval};
  bool low_traffic_ = false;
  TimePoint interval_end_{}, next_return_at_ = kNever;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_OUTLIER_DETECTOR_H_
