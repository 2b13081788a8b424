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
                    {.text = "see docs/lab.md"});
  v.Number("at_s", at_s, {.text = "its start", .unit = "s"});
  v.Number("for_s", for_s, {.text = "its length", .unit = "s"});
  v.Number("part", part, {.text = "of the backends or proxies, at least one", .max = 1});
  v.Number("size", size, {.text = "how bad: see docs/lab.md", .max = 1e6});
  v.Number("every_ms", every_ms, {.text = "mean time between pauses", .unit = "ms", .min = 1});
  v.Int32("from_zone", from_zone, {.text = "of a cut; the lost zone", .max = 63});
  v.Int32("to_zone", to_zone, {.text = "of a cut", .max = 63});
}

}  // namespace copperpoint::simulation
