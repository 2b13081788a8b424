// SPDX-License-Identifier: Apache-2.0
//
// One entry of a scenario's fault schedule.
#ifndef COPPERPOINT_SIMULATION_SCENARIO_FAULT_H_
#define COPPERPOINT_SIMULATION_SCENARIO_FAULT_H_

#include "config/schema.h"

namespace copperpoint::simulation {

// `size` and `part` are those of Fault.
enum class FaultKind {
  kPauses,             // backends pause for `size` ms, about every `every_ms`
  kStall,              // backends pause from its start to its end
  kUnresponsive,       // machines become unresponsive, and restart at its end
  kFastErrors,         // backends fail `size` of their requests at once
  kSlow,               // backends take `size` times as long, their health still fine
  kZoneOutage,         // all machines of a zone become unresponsive
  kPartition,          // nothing gets from `from_zone` to `to_zone`
  kTrafficBurst,       // traffic times `size`
  kRollingRestart,     // backends drain and restart, `size` of them at a time
  kProxyRestart,       // proxies are replaced as planned (drained, then stopped)
  kProxyCrash,         // proxies crash, and restart at its end
  kPoisonRequest,      // requests of one key crash the backend that runs them
  kBackendOutage,      // the process of every backend crashes, and restarts at its end
  kDiscoveryDown,      // discovery does not answer
  kDiscoveryOverload,  // discovery can answer only `size` times its calls
  kLostResponses,      // `size` of the responses never arrive, though the work was done
  kConnectionResets,   // `size` of the requests find their connection reset
  kShortTimeouts,      // `part` of the clients give each request up after `size` ms, and retry at once
};

struct Fault {
  FaultKind kind = FaultKind::kPauses;
  double at_s = 0;
  double for_s = 1e9;
  double part = 0.2;  // of the backends or proxies, at least one
  double size = 1;    // see FaultKind
  double every_ms = 1000;
  int from_zone = 0;
  int to_zone = 0;

  void Describe(config::FieldVisitor& v);
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_SCENARIO_FAULT_H_
