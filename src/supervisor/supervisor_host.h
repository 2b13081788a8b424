// SPDX-License-Identifier: Apache-2.0
//
// Runs a supervisor: carries out the decisions of supervisor.h with processes, signals and timers.
#ifndef COPPERPOINT_SUPERVISOR_SUPERVISOR_HOST_H_
#define COPPERPOINT_SUPERVISOR_SUPERVISOR_HOST_H_

#include "supervisor/settings.h"

namespace copperpoint::supervisor {

// Runs until no process is left, after SIGTERM or SIGINT or when the supervisor has given up. Returns the
// exit status of the program. Throws std::system_error if a process cannot be forked.
int RunSupervisor(const Settings& settings);

}  // namespace copperpoint::supervisor

#endif  // COPPERPOINT_SUPERVISOR_SUPERVISOR_HOST_H_
