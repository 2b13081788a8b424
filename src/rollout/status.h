// SPDX-License-Identifier: Apache-2.0
//
// The JSON with which the admin interface answers /rollout and /rollout/history. Only this module maps the
// code's terms to the keys and values of that JSON.
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
  const std::string& started_by;  // The name of the member at which the rollout was started.
  bool expired = false;
  bool has_majority = false;       // Whether a majority of the members is alive.
  Time age{};                      // The time since this member received the rollout.
  const Leader* leader = nullptr;  // Null unless this member leads the rollout.
};

// `version` is the version that this member runs. `rollout` is null if this member knows no rollout.
std::string FormatStatus(const std::string& version, const RolloutStatusView* rollout, Time now);

std::string FormatHistory(const wire::History& history);

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_STATUS_H_
