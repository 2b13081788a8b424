// SPDX-License-Identifier: Apache-2.0
//
// How long a process that shuts down may take for its responses before the platform kills it.
#ifndef COPPERPOINT_PROXY_LIFECYCLE_SHUTDOWN_TIME_H_
#define COPPERPOINT_PROXY_LIFECYCLE_SHUTDOWN_TIME_H_

#include <vector>

#include "copperpoint/balancer.h"

namespace copperpoint::proxy {

// @return the time after SIGTERM, in milliseconds, within which the response to every request that is read
// during the shutdown must be written. The platform sends SIGKILL no earlier than the longest deadline, of
// which at most 3 s count, plus 0.7 s after SIGTERM (PROTOCOL, "Figures"); the result is earlier by what the
// write of a response may be late.
Duration ShutdownResponseTime(const std::vector<ClassSettings>& classes);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_LIFECYCLE_SHUTDOWN_TIME_H_
