// SPDX-License-Identifier: Apache-2.0
//
// The names of the values of the decision interface in logs. They are the same in the logs of the proxy and
// of the simulator, so that one reader can read both.
#ifndef COPPERPOINT_DECISION_LOG_NAMES_H_
#define COPPERPOINT_DECISION_LOG_NAMES_H_

#include <cstddef>

#include "copperpoint/balancer.h"

namespace copperpoint {

inline const char* LogName(AttemptOutcome outcome) {
  static constexpr const char* kNames[] = {"success",   "server_error",    "backend_rejected",
                                           "timeout",   "connect_failure", "connection_reset",
                                           "cancelled", "not_sent",        "unknown"};
  return kNames[static_cast<std::size_t>(outcome)];
}

inline const char* LogName(EndpointUpdateKind kind) {
  static constexpr const char* kNames[] = {"incremental", "snapshot",    "cached",
                                           "failed",      "handed_over", "operator"};
  return kNames[static_cast<std::size_t>(kind)];
}

inline const char* LogName(EndpointState state) {
  static constexpr const char* kNames[] = {"removed", "ready", "draining"};
  return kNames[static_cast<std::size_t>(state)];
}

inline const char* LogName(RejectReason reason) {
  static constexpr const char* kNames[] = {"",
                                           "unknown_class",
                                           "deadline_unreachable",
                                           "load_shed",
                                           "no_capacity",
                                           "not_retriable",
                                           "retry_budget_exhausted",
                                           "process_limit",
                                           "request_body_consumed"};
  return kNames[static_cast<std::size_t>(reason)];
}

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_LOG_NAMES_H_
