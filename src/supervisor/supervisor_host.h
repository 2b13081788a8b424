// SPDX-License-Identifier: Apache-2.0
//
// Runs a supervisor: its processes, signals and deadlines, for the decisions in supervisor.h.
#ifndef COPPERPOINT_SUPERVISOR_SUPERVISOR_HOST_H_
#define COPPERPOINT_SUPERVISOR_SUPERVISOR_HOST_H_

#include "supervisor/settings.h"

namespace copperpoint::supervisor {

// Returns when no process is left: after SIGTERM or SIGINT, or when it has given up. The exit status of the
// program. Throws std::system_error if it can't start a process.
int RunSupervisor(const Settings& settings);

}  // namespace copperpoint::supervisor

#endif  // COPPERPOINT_SUPERVISOR_SUPERVISOR_HOST_H_
