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
  kCalm,      // all requests are served
  kSurge,     // demand exceeds capacity by clients' first attempts
  kStorm,     // a good part of the demand are client retries, or no request is answered
  kRecovery,  // a storm is over; its backlog of retries may still arrive
};
const char* NameOf(OverloadState state);

// Requests since the last call.
struct OverloadCounts {
  double received = 0,
         client_retries = 0;           // client_retries: those of the received that were recognised as such
  double unserved = 0, succeeded = 0;  // unserved: rejected or failed by a decision
};

// A state is entered when its signs have lasted for kEnterAfter and left only after they have been absent for
// kLeaveAfter, so that it doesn't flap. Owns the counts,
// decayed exponentially over kMemory.
class OverloadMonitor {
 public:
  static constexpr double kRejectedFraction = 0.05;    // of the received, above which it is a surge
  static constexpr double kClientRetryFraction = 0.2;  // of the received, above which it is a storm
  static constexpr Duration kEnterAfter{500}, kLeaveAfter{2000}, kRecoveryTime{5000};
  static constexpr Duration kMemory{500};

  // Adds the counts of the last `elapsed`; returns the new state if it changed.
  std::optional<OverloadState> Update(TimePoint now, Duration elapsed, const OverloadCounts& counts);
  OverloadState state() const { return state_; }
  // A log line on the last change and the decayed counts it rests on.
  std::string Describe() const;
  double RejectedFraction() const {
    return decayed_.received > 0 ? decayed_.unserved / decayed_.received : 0;
  }
  double ClientRetryFraction() const {
    return decayed_.received > 0 ? decayed_.client_retries / decayed_.received : 0;
  }

 private:
  OverloadState CurrentSigns() const;
  OverloadState NextState(TimePoint now, OverloadState signs) const;

  OverloadCounts decayed_;
  OverloadState state_ = OverloadState::kCalm, previous_ = OverloadState::kCalm;
  OverloadState signs_ = OverloadState::kCalm;
  TimePoint signs_since_{}, entered_at_{};
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_OVERLOAD_MONITOR_H_
