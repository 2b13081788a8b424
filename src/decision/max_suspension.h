// SPDX-License-Identifier: Apache-2.0
//
// How long the operating system may suspend the process between its reading the clock and its next write.
#ifndef COPPERPOINT_DECISION_MAX_SUSPENSION_H_
#define COPPERPOINT_DECISION_MAX_SUSPENSION_H_

#include "copperpoint/balancer.h"

namespace copperpoint {

// STANDING, "More than these days": a write takes effect up to this long after the check of its time limit,
// so that limits which others observe are checked this much earlier.
inline constexpr Duration kMaxSuspension{150};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_MAX_SUSPENSION_H_
