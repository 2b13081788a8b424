// SPDX-License-Identifier: Apache-2.0
//
// The time of this proxy's membership: the machine's steady clock. A build for tests (with
// COPPERPOINT_CLOCK_SEAM) adds the offset in the file $COPPERPOINT_CLOCK, to simulate a clock that jumps.
#ifndef COPPERPOINT_PROXY_MEMBERSHIP_CLOCK_H_
#define COPPERPOINT_PROXY_MEMBERSHIP_CLOCK_H_

#include "membership/options.h"
#include "proxy/clock.h"

namespace copperpoint::proxy {

membership::Time MembershipNow();
// Converts a time of the membership to the machine's steady clock.
Steady::time_point ToSteady(membership::Time at);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_MEMBERSHIP_CLOCK_H_
