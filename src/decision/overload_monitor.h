// SPDX-License-Identifier: Apache-2.0
//
// Reports to operators which kind of overload the proxy is in. It steers no decision.
#ifndef COPPERPOINT_DECISION_OVERLOAD_MONITOR_H_
#define COPPERPOINT_DECISION_OVERLOAD_MONITOR_H_

#include <optional>
#include <string>

#include "copperpoint/balancer.h"

namespace copperpoint {

enum class OverloadState {
  kCalm,      // nearly all requests are served
  kSurge,     // the first attempts of clients exceed the capacity
  kStorm,     // client retries are a large part of the requests, or hardly any request is answered
  kRecovery,  // a storm is over; retries that it caused may still arrive
};
const char* NameOf(OverloadState state);

// Numbers of requests.
struct OverloadCounts {
  double received = 0,
         client_retries = 0;           // client_retries: the received ones that were recognised as retries
  double unserved = 0, succeeded = 0;  // unserved: rejected or failed by a decision
};

// A more severe state is entered when the counts have indicated it for kEnterAfter; a state is left only
// after the counts have not indicated it for kLeaveAfter, so that states don't flap. Owns the counts, which
// decay exponentially with the time constant kMemory.
class OverloadMonitor {
 public:
  static constexpr double kRejectedFraction = 0.05;    // a surge is indicated above it
  static constexpr double kClientRetryFraction = 0.2;  // with a surge, a storm is indicated above it
  static constexpr Duration kEnterAfter{500}, kLeaveAfter{2000}, kRecoveryTime{5000};
  static constexpr Duration kMemory{500};

  // Adds the counts of the last `elapsed`. Returns the new state if it changed.
  std::optional<OverloadState> Update(TimePoint now, Duration elapsed, const OverloadCounts& counts);
  OverloadState state() const { return state_; }
  // Returns a log line about the last change of state, with the fractions that it is based on.
  std::string Describe() const;
  // Fractions of the requests received.
  double RejectedFraction() const {
    return decayed_.received > 0 ? decayed_.unserved / decayed_.received : 0;
  }
  double ClientRetryFraction() const {
    return decayed_.received > 0 ? decayed_.client_retries / decayed_.received : 0;
  }

 private:
  // Returns the state that the decayed counts indicate: calm, surge or storm.
  OverloadState IndicatedState() const;
  // Returns the state to be in at `now`, when the counts indicate `indicated`.
  OverloadState NextState(TimePoint now, OverloadState indicated) const;

  OverloadCounts decayed_;
  OverloadState state_ = OverloadState::kCalm, previous_ = OverloadState::kCalm;
  OverloadState indicated_ = OverloadState::kCalm;
  TimePoint indicated_since_{}, entered_at_{};
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_OVERLOAD_MONITOR_H_
