// SPDX-License-Identifier: Apache-2.0
//
// Bounds the log lines of the decision module: each kind at most once within its interval.
#ifndef COPPERPOINT_DECISION_LOG_LIMITER_H_
#define COPPERPOINT_DECISION_LOG_LIMITER_H_

#include <array>
#include <cstddef>

#include "copperpoint/balancer.h"

namespace copperpoint {

enum class LogKind { kHealth, kRequestEnd, kSlowStart };

class LogLimiter {
 public:
  // True if a line of this kind may be written now; it then counts as written.
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
