// SPDX-License-Identifier: Apache-2.0
//
// A plan with real processes of the program.
#ifndef COPPERPOINT_RIG_PROCESSES_PLAY_H_
#define COPPERPOINT_RIG_PROCESSES_PLAY_H_

#include <cstdint>
#include <string>

#include "rig/plan.h"
#include "rig/virtual.h"

namespace copperpoint::rig {

struct ProcessOptions {
  std::string program;  // whose `serve` is started
  std::string logs;     // a folder for the members' logs; empty: none are kept
  std::uint64_t seed = 1;
  bool sharing = true;  // false: the proxies know nothing of each other
};

struct ProcessOutcome {
  Outcome outcome;
  bool is_void = false;  // the rig itself was late: nothing can be said
  bool interrupted = false;
};

// Starts the members, plays, judges, ends them. Throws std::runtime_error if a member cannot be started.
ProcessOutcome PlayProcesses(const Plan& plan, const ProcessOptions& options);

}  // namespace copperpoint::rig

#endif  // COPPERPOINT_RIG_PROCESSES_PLAY_H_
