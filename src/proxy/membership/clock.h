// SPDX-License-Identifier: Apache-2.0
//
// The clock that the view of this proxy goes by: the machine's steady one. A build for tests (with
// COPPERPOINT_CLOCK_SEAM) adds what the file $COPPERPOINT_CLOCK says, so that a clock that jumps can be
// played.
#ifndef COPPERPOINT_PROXY_MEMBERSHIP_CLOCK_H_
#define COPPERPOINT_PROXY_MEMBERSHIP_CLOCK_H_

#include "membership/options.h"
#include "proxy/clock.h"

namespace copperpoint::proxy {

membership::Time FleetNow();
// When the machine's clock will show what the view calls `at`.
Steady::time_point ToSteady(membership::Time at);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_MEMBERSHIP_CLOCK_H_
