// SPDX-License-Identifier: Apache-2.0
//
// Decides in which order members upgrade and where each stage ends. The order depends only on the plan, the
// members and the rollout's id, so that every member computes the same order.
#ifndef COPPERPOINT_ROLLOUT_UPGRADE_ORDER_H_
#define COPPERPOINT_ROLLOUT_UPGRADE_ORDER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "rollout/plan.h"

namespace copperpoint::rollout {

struct UpgradeOrder {
  static constexpr int kNotAMember = -1;

  std::vector<MemberInfo> members;  // Indexed by rank; the member of rank 0 upgrades first.
  std::vector<int> stage_ends;      // For each stage, the number of members upgraded when it ends.

  // Returns kNotAMember if the rollout has no member of that name.
  int RankOf(const std::string& name) const;
  // Returns the index of the first stage that ends at `admitted_members` or later; the last if none does.
  int StageOf(int admitted_members) const;
};

// The order interleaves zones in proportion to their numbers of members, so that no stage upgrades a large
// part of one zone. Within a zone it follows a hash of the rollout's id and the member's name, so that
// different rollouts start at different members.
UpgradeOrder MakeUpgradeOrder(const Plan& plan, std::vector<MemberInfo> members, std::uint64_t rollout_id);

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_UPGRADE_ORDER_H_
