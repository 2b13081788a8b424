// SPDX-License-Identifier: Apache-2.0
//
// Runs a fault test plan with real processes of the program.
#ifndef COPPERPOINT_FAULT_TESTING_PROCESSES_PLAY_H_
#define COPPERPOINT_FAULT_TESTING_PROCESSES_PLAY_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "fault_testing/plan.h"
#include "fault_testing/virtual.h"

namespace copperpoint::fault_testing {

// The state of one member of a running fault test.
struct MemberStatus {
  std::string name, listen, operator_address;
  int pid = 0;
  bool up = false;
  std::size_t living_members = 0;  // in its own view
};
struct FleetStatus {
  double at_s = 0;
  std::string control;  // address that accepts commands as POST /WHAT/WHO; see `on_status`
  std::vector<MemberStatus> members;
  std::size_t views = 0;  // distinct views among the members that are up
  // During the last second.
  std::uint64_t requests = 0, served = 0, rejected = 0, ejections = 0;
  std::vector<std::uint64_t> executions;  // by backend
};

struct ProcessOptions {
  std::string program;         // path of the program whose `serve` is started
  std::string other_program;   // path of the program that `replace` starts instead; empty: the same program
  std::string other_settings;  // file with settings that v2 has in addition to v1's; empty: none
  std::string log_folder;      // folder for the members' logs; empty: logs are discarded
  std::uint64_t seed = 1;
  bool with_membership = true;  // false: the proxies run without membership
  // If set, called when all members have been started, and then once a second. The run then accepts commands:
  // kill, start, stop, go, cut, heal for a member (`p2`), freeze, thaw, fail, mend for a backend (`b3`).
  std::function<void(const FleetStatus&)> on_status;
};

struct ProcessOutcome {
  Outcome outcome;
  bool is_void = false;  // the rig's own timers were late, so that the run proves nothing
  bool interrupted = false;
};

// Starts the members, injects the faults, ends the members and evaluates the properties. Throws
// std::runtime_error if a member cannot be started.
ProcessOutcome PlayProcesses(const Plan& plan, const ProcessOptions& options);

}  // namespace copperpoint::fault_testing

#endif  // COPPERPOINT_FAULT_TESTING_PROCESSES_PLAY_H_
