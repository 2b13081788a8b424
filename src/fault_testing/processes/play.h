// SPDX-License-Identifier: Apache-2.0
//
// A plan with real processes of the program.
#ifndef COPPERPOINT_FAULT_TESTING_PROCESSES_PLAY_H_
#define COPPERPOINT_FAULT_TESTING_PROCESSES_PLAY_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "fault_testing/plan.h"
#include "fault_testing/virtual.h"

namespace copperpoint::fault_testing {

// What a watcher is told of a run.
struct MemberStatus {
  std::string name, listen, operator_address;
  int pid = 0;
  bool up = false;
  std::size_t living_members = 0;  // that it sees
};
struct FleetStatus {
  double at_s = 0;
  std::string control;  // address that takes POST /WHAT/WHO; see `commands`
  std::vector<MemberStatus> members;
  std::size_t views = 0;  // different ones among those up
  // In the last second.
  std::uint64_t requests = 0, served = 0, rejected = 0, ejections = 0;
  std::vector<std::uint64_t> executions;  // by backend
};

struct ProcessOptions {
  std::string program;         // whose `serve` is started
  std::string other_program;   // that `replace` puts in its place; empty: the same
  std::string other_settings;  // lines that v2 has besides v1's; empty: none
  std::string log_folder;      // a folder for the members' logs; empty: none are kept
  std::uint64_t seed = 1;
  bool with_membership = true;  // false: the proxies know nothing of each other
  // Called once all members were started, and then once a second. Commands are taken then: kill, start, stop,
  // go, cut, heal for a member (`p2`), freeze, thaw, fail, mend for a backend (`b3`).
  std::function<void(const FleetStatus&)> on_status;
};

struct ProcessOutcome {
  Outcome outcome;
  bool is_void = false;  // the rig itself was late: nothing can be said
  bool interrupted = false;
};

// Starts the members, plays, judges, ends them. Throws std::runtime_error if a member cannot be started.
ProcessOutcome PlayProcesses(const Plan& plan, const ProcessOptions& options);

}  // namespace copperpoint::fault_testing

#endif  // COPPERPOINT_FAULT_TESTING_PROCESSES_PLAY_H_
