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

// The constants carry the names of the fields of A50's configuration. Departures from A50:
// - A backend is evaluated at each outcome, not at the end of the interval.
// - The threshold rises with the failure percentage of the other backends: under overload all fail, and must
//   not be ejected one after the other.
// - At low traffic (request_volume is not reached at each backend within kInterval) the interval is longer,
//   the volume lower (see RequestVolume), and ejection times are jittered, so that proxies don't return
//   together.
//
// Owns BackendHealth of all backends and their sums, so that an outcome costs no scan of them.
class OutlierDetector {
 public:
  static constexpr Duration kInterval{2000};
  static constexpr Duration kMaxInterval{10000};  // at low traffic; A50's default
  static constexpr Duration kBaseEjectionTime{2000};
  static constexpr Duration kMaxEjectionTime{16000};
  static constexpr int kRequestVolume = 3;  // attempts; a proxy sees few of one backend
  static constexpr int kMinimumHosts = 2;   // backends with request_volume
  static constexpr double kThresholdFraction = 0.4;
  static constexpr double kMaxEjectionPercent = 50;
  static constexpr double kEnforcingPercent = 100;

  // Counts the outcome of an attempt and evaluates its backend; true if that ejected it. `ready`: the backend
  // is listed as ready.
  bool OnOutcome(BackendHealth& health, bool ready, bool success, TimePoint now, Random& random);

  // The number of ready backends changed by `ready`, that of the ejected ones among them by `ejected`.
  void OnReadyChanged(int ready, int ejected) {
    ready_ += ready;
    ejected_ += ejected;
  }

  // Continues what the predecessor of this process exported.
  void Restore(BackendHealth& health, bool ready, const BackendSnapshot& snapshot, TimePoint now);

  // Ends the ejection if its time is over; true if so. Between ResetNextReturn and the last call the next
  // return is found anew: call it for all backends.
  bool ReturnIfDue(BackendHealth& health, bool ready, TimePoint now);
  void ResetNextReturn() { next_return_at_ = kNever; }
  TimePoint next_return_at() const { return next_return_at_; }

  // True once when the interval is over; then call EndInterval for all backends.
  bool TakeIntervalEnd(TimePoint now);
  static void EndInterval(BackendHealth& health);

  // Fits the interval, and whether traffic is low, to this proxy's requests a second, spread over `backends`.
  void FitInterval(double requests_per_s, std::size_t backends);
  // How many backends such a rate suffices to evaluate: it brings request_volume to each within kInterval.
  static std::size_t EvaluableBackends(double requests_per_s) {
    return static_cast<std::size_t>(requests_per_s * kInterval.count() / 1000 / kRequestVolume);
  }
  bool low_traffic() const { return low_traffic_; }

 private:
  bool IsOutlier(const BackendHealth& health) const;
  int RequestVolume(int other_failures, int other_attempts) const;

  int ready_ = 0, ejected_ = 0;  // backends
  // Of this interval; the last two of backends that are not ejected.
  int backends_with_volume_ = 0, failures_ = 0, attempts_ = 0;
  Duration interval_{kInterval};
  bool low_traffic_ = false;
  TimePoint interval_end_{}, next_return_at_ = kNever;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_OUTLIER_DETECTOR_H_
