// SPDX-License-Identifier: Apache-2.0
//
// Decides whether upgraded members have failed. Such a failure stops a rollout regardless of the canary
// analysis.
#ifndef COPPERPOINT_ROLLOUT_MEMBER_FAILURES_H_
#define COPPERPOINT_ROLLOUT_MEMBER_FAILURES_H_

#include <cstdint>
#include <optional>

#include "rollout/member_table.h"
#include "rollout/plan.h"
#include "rollout/stop_cause.h"
#include "rollout/upgrade_order.h"

namespace copperpoint::rollout {

struct FailureInput {
  const Plan& plan;
  const UpgradeOrder& order;
  const MemberTable& members;
  std::uint32_t admitted_members = 0;
  // The time since which the leader has had contact to a majority without interruption. Contact that was
  // missing before then is not counted against any member, as the leader may have been cut off.
  Time majority_since{};
};

// Returns the first failure of an admitted member that is found, or that the canaries together crash too
// often; nothing if there is neither.
std::optional<StopCause> FindMemberFailure(const FailureInput& input, Time now);

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_MEMBER_FAILURES_H_
