// SPDX-License-Identifier: Apache-2.0
//
// The JSON that /rollout and /rollout/history of the admin interface answer. Its keys and values are mapped
// to the code's terms here and nowhere else.
#ifndef COPPERPOINT_ROLLOUT_STATUS_H_
#define COPPERPOINT_ROLLOUT_STATUS_H_

#include <cstdint>
#include <string>

#include "rollout.pb.h"
#include "rollout/leader.h"
#include "rollout/plan.h"
#include "rollout/progress.h"
#include "rollout/upgrade_order.h"

namespace copperpoint::rollout {

// A rollout as one member sees it.
struct RolloutStatusView {
  std::uint64_t rollout_id = 0;
  const Plan& plan;
  const UpgradeOrder& order;
  const Progress& progress;
  const std::string& started_by;  // a member
  bool expired = false;
  bool has_majority = false;
  Time age{};                      // since this member received the rollout
  const Leader* leader = nullptr;  // if this member leads
};

// `version`: that this member runs. `rollout`: null without one.
std::string FormatStatus(const std::string& version, const RolloutStatusView* rollout, Time now);

std::string FormatHistory(const wire::History& history);

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_STATUS_H_
