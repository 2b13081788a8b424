// SPDX-License-Identifier: Apache-2.0
//
// Decides whether upgraded members have failed: such a failure stops a rollout whatever the requests' figures
// are.
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
  // Since when the leader has had contact to a majority without a break. Contact that was missing before
  // counts against nobody.
  Time majority_since{};
};

std::optional<StopCause> FindMemberFailure(const FailureInput& input, Time now);

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_MEMBER_FAILURES_H_
