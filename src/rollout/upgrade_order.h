// SPDX-License-Identifier: Apache-2.0
//
// Decides in which order members upgrade and where each stage ends. It follows from the plan, the members and
// the rollout's id alone, so that every member computes the same.
#ifndef COPPERPOINT_ROLLOUT_UPGRADE_ORDER_H_
#define COPPERPOINT_ROLLOUT_UPGRADE_ORDER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "rollout/plan.h"

namespace copperpoint::rollout {

struct UpgradeOrder {
  static constexpr int kNotAMember = -1;

  std::vector<MemberInfo> members;  // by rank: the first upgrades first
  std::vector<int> stage_ends;      // for each stage: how many members are upgraded when it ends

  // kNotAMember if the rollout is not of a member of that name.
  int RankOf(const std::string& name) const;
  // The first stage that is not over when `admitted_members` are upgraded; the last one if all are over.
  int StageOf(int admitted_members) const;
};

// Zones take turns in proportion to their members, so that no stage takes much of one zone; within a zone the
// order is by a hash of the rollout's id and the name, so that each rollout starts at another member.
UpgradeOrder MakeUpgradeOrder(const Plan& plan, std::vector<MemberInfo> members, std::uint64_t rollout_id);

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_UPGRADE_ORDER_H_
