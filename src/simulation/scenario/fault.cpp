// SPDX-License-Identifier: Apache-2.0
#include "simulation/scenario/fault.h"

namespace copperpoint::simulation {

void Fault::Describe(config::FieldVisitor& v) {
  v.Enum<FaultKind>("kind", kind,
                    {{"pauses", FaultKind::kPauses},
                     {"stall", FaultKind::kStall},
                     {"vanish", FaultKind::kUnresponsive},
                     {"fast_errors", FaultKind::kFastErrors},
                     {"slow", FaultKind::kSlow},
                     {"lost_zone", FaultKind::kZoneOutage},
                     {"cut", FaultKind::kPartition},
                     {"burst", FaultKind::kTrafficBurst},
                     {"release", FaultKind::kRollingRestart},
                     {"proxy_release", FaultKind::kProxyRestart},
                     {"proxy_kill", FaultKind::kProxyCrash},
                     {"poison", FaultKind::kPoisonRequest},
                     {"outage", FaultKind::kBackendOutage},
                     {"discovery_down", FaultKind::kDiscoveryDown},
                     {"overbooked", FaultKind::kDiscoveryOverload},
                     {"lost_answers", FaultKind::kLostResponses},
                     {"resets", FaultKind::kConnectionResets},
                     {"impatience", FaultKind::kShortTimeouts}},
                    {.text = "the fault; docs/lab.md describes each"});
  v.Number("at_s", at_s, {.text = "start of the fault, from the start of the run", .unit = "s"});
  v.Number("for_s", for_s, {.text = "length of the fault", .unit = "s"});
  v.Number("part", part,
           {.text = "share of the backends or proxies affected, at least one; `impatience`: of the clients",
            .max = 1});
  v.Number("size", size, {.text = "severity; its meaning depends on the kind, see docs/lab.md", .max = 1e6});
  v.Number("every_ms", every_ms,
           {.text = "`pauses`: mean time between two pauses of a backend", .unit = "ms", .min = 1});
  v.Int32("from_zone", from_zone,
          {.text = "`cut`: the zone that messages come from; `lost_zone`: the zone that fails", .max = 63});
  v.Int32("to_zone", to_zone, {.text = "`cut`: the zone that messages go to", .max = 63});
}

}  // namespace copperpoint::simulation
