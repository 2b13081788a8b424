// SPDX-License-Identifier: Apache-2.0
//
// The clock that the view of this proxy goes by: the machine's steady one. A build for tests (with
// COPPERPOINT_CLOCK_SEAM) adds what the file $COPPERPOINT_CLOCK says, so that a clock that jumps can be
// played.
#ifndef COPPERPOINT_PROXY_FLEET_CLOCK_H_
#define COPPERPOINT_PROXY_FLEET_CLOCK_H_

#include "proxy/clock.h"
#include "view/options.h"

namespace copperpoint::proxy {

view::Time FleetNow();
// When the machine's clock will show what the view calls `at`.
Steady::time_point ToSteady(view::Time at);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_FLEET_CLOCK_H_
