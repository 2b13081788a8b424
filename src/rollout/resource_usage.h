// SPDX-License-Identifier: Apache-2.0
//
// Decides whether the canaries use more processor time per request, or more memory, than the baseline.
#ifndef COPPERPOINT_ROLLOUT_RESOURCE_USAGE_H_
#define COPPERPOINT_ROLLOUT_RESOURCE_USAGE_H_

#include <cstdint>
#include <optional>

#include "rollout/member_table.h"
#include "rollout/plan.h"
#include "rollout/stop_cause.h"

namespace copperpoint::rollout {

// Compares the first `admitted_members` with the others at the end of a stage's bake time. Returns nothing if
// no increase exceeds its guardrail.
std::optional<StopCause> FindResourceRegression(const MemberTable& members, std::uint32_t admitted_members,
                                                const Guardrails& guardrails);

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_RESOURCE_USAGE_H_
