// SPDX-License-Identifier: Apache-2.0
//
// Decides when discovery is polled for the endpoint list, for discovery that doesn't push changes.
#ifndef COPPERPOINT_DECISION_ENDPOINT_POLLER_H_
#define COPPERPOINT_DECISION_ENDPOINT_POLLER_H_

#include <algorithm>

#include "copperpoint/balancer.h"
#include "decision/never.h"
#include "decision/random.h"

namespace copperpoint {

// Polls at once after the start of the process, after a failure with jittered exponential backoff, and again
// if a poll gets no answer. Within 6 s of a change, the list has to be up to date if discovery can be
// reached; kMaxBackoff and kMaxAnswerTime ensure this after any earlier failures.
class EndpointPoller {
 public:
  // `max_interval`: Settings::max_poll_interval.
  explicit EndpointPoller(Duration max_interval) : max_interval_(max_interval) {}

  // Handles the result of a poll or a watch. kCached is the list that a process starts with. Updates that
  // come from elsewhere leave a poll that is due, or waits for its answer, as it is.
  void OnUpdate(EndpointUpdateKind kind, TimePoint now, Random& random) {
    switch (kind) {
      case EndpointUpdateKind::kCached:
        next_poll_at_ = now;
        return;
      case EndpointUpdateKind::kFailed:
        backoff_ = std::min({max_interval_ / 4, kMaxBackoff, std::max(max_interval_ / 20, backoff_ * 2)});
        next_poll_at_ = now + backoff_ * (0.5 + 0.5 * random.Unit());
        return;
      case EndpointUpdateKind::kIncremental:
      case EndpointUpdateKind::kSnapshot:
        backoff_ = Duration(0);
        next_poll_at_ = kNever;
        return;
      case EndpointUpdateKind::kHandedOver:
      case EndpointUpdateKind::kOperator:
        return;
    }
  }

  // Returns true once when a poll is due.
  bool TakeDuePoll(TimePoint now) {
    if (now < next_poll_at_) return false;
    next_poll_at_ = now + std::min(max_interval_ / 2, kMaxAnswerTime);  // in case the answer never comes
    return true;
  }

  TimePoint next_poll_at() const { return next_poll_at_; }

 private:
  static constexpr Duration kMaxBackoff{1000}, kMaxAnswerTime{5000};

  Duration max_interval_, backoff_{0};
  TimePoint next_poll_at_ = kNever;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_ENDPOINT_POLLER_H_
