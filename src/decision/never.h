// SPDX-License-Identifier: Apache-2.0
//
// The time of events that are not scheduled.
#ifndef COPPERPOINT_DECISION_NEVER_H_
#define COPPERPOINT_DECISION_NEVER_H_

#include "copperpoint/balancer.h"

namespace copperpoint {

inline constexpr TimePoint kNever{Duration(1e300)};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_NEVER_H_
