// SPDX-License-Identifier: Apache-2.0
//
// One entry of a scenario's fault schedule.
#ifndef COPPERPOINT_SIMULATION_SCENARIO_FAULT_H_
#define COPPERPOINT_SIMULATION_SCENARIO_FAULT_H_

#include "config/schema.h"

namespace copperpoint::simulation {

// `size`, `part`, `every_ms`, `from_zone` and `to_zone` are the fields of Fault. "End" is that of the fault.
enum class FaultKind {
  kPauses,             // backends pause for `size` ms, every `every_ms` on average
  kStall,              // backends pause from the start to the end
  kUnresponsive,       // machines become unresponsive, and restart at the end
  kFastErrors,         // backends answer a share `size` of their requests at once with an error
  kSlow,               // backends take `size` times as long, but still count as healthy
  kZoneOutage,         // all machines of `from_zone` become unresponsive, and restart at the end
  kPartition,          // messages from `from_zone` to `to_zone` arrive only after the end
  kTrafficBurst,       // the arrival rate is multiplied by `size`
  kRollingRestart,     // backends drain and restart, `size` of them at a time
  kProxyRestart,       // proxies are drained, then stopped and replaced
  kProxyCrash,         // proxies crash, and restart at the end
  kPoisonRequest,      // requests with the poison key crash the backend that runs them
  kBackendOutage,      // the processes of all backends crash, and restart at the end
  kDiscoveryDown,      // discovery does not answer
  kDiscoveryOverload,  // discovery can answer only a share `size` of its normal rate of calls
  kLostResponses,      // a share `size` of the responses is lost, after the work was done
  kConnectionResets,   // a share `size` of the attempts finds its connection reset
  kShortTimeouts,  // a share `part` of the clients gives each request up after `size` ms, and retries at once
};

// One entry of the schedule. Which of the fields count depends on the kind.
struct Fault {
  FaultKind kind = FaultKind::kPauses;
  double at_s = 0;     // start, in virtual time
  double for_s = 1e9;  // length
  double part = 0.2;   // share of the backends, proxies or clients affected; at least one backend or proxy
  double size = 1;     // severity, in the unit that FaultKind names
  double every_ms = 1000;  // mean time from one pause of a backend to the start of the next
  int from_zone = 0;
  int to_zone = 0;

  void Describe(config::FieldVisitor& v);
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_SCENARIO_FAULT_H_
