// SPDX-License-Identifier: Apache-2.0
//
// The names by which logs call the values of the decision interface. One reader serves the logs of the proxy
// and of the simulator.
#ifndef COPPERPOINT_DECISION_LOG_NAMES_H_
#define COPPERPOINT_DECISION_LOG_NAMES_H_

#include <cstddef>

#include "copperpoint/balancer.h"

namespace copperpoint {

inline const char* WordFor(AttemptOutcome outcome) {
  static constexpr const char* kWords[] = {"ok",    "error",     "full", "timeout", "connect_failed",
                                           "reset", "cancelled", "moot", "unknown"};
  return kWords[static_cast<std::size_t>(outcome)];
}

inline const char* WordFor(EndpointUpdateKind kind) {
  static constexpr const char* kWords[] = {"delta", "full", "cached", "failed"};
  return kWords[static_cast<std::size_t>(kind)];
}

inline const char* WordFor(EndpointState state) {
  static constexpr const char* kWords[] = {"gone", "ready", "draining"};
  return kWords[static_cast<std::size_t>(state)];
}

inline const char* WordFor(RejectReason reason) {
  static constexpr const char* kWords[] = {
      "",          "unknown_class", "too_large", "throttled",    "no_place",
      "no_repeat", "retry_budget",  "own_limit", "body_has_left"};
  return kWords[static_cast<std::size_t>(reason)];
}

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_LOG_NAMES_H_
