// SPDX-License-Identifier: Apache-2.0
//
// Limits the log lines of the decision module: at most one of each kind per interval.
#ifndef COPPERPOINT_DECISION_LOG_LIMITER_H_
#define COPPERPOINT_DECISION_LOG_LIMITER_H_

#include <array>
#include <cstddef>

#include "copperpoint/balancer.h"

namespace copperpoint {

// kHealth: a backend or a zone leaves or returns to service. kRequestEnd: a request is rejected or failed.
// kSlowStart: a backend is skipped for its slow start budget.
enum class LogKind { kHealth, kRequestEnd, kSlowStart };

class LogLimiter {
 public:
  // Returns true if a line of this kind may be written now, and counts it as written.
  bool TakePermit(LogKind kind, TimePoint now) {
    TimePoint& next = next_[static_cast<std::size_t>(kind)];
    if (now < next) return false;
    next = now + (kind == LogKind::kHealth ? kHealthInterval : kInterval);
    return true;
  }

 private:
  static constexpr Duration kHealthInterval{1000}, kInterval{10000};

  std::array<TimePoint, 3> next_{};
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_LOG_LIMITER_H_
