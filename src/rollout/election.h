// SPDX-License-Identifier: Apache-2.0
//
// Elects the leader of a rollout: the member with the greatest hash among those that are alive. Every member
// decides by its own view of the membership. Two members may lead for a while; progress.h says why this is
// safe.
#ifndef COPPERPOINT_ROLLOUT_ELECTION_H_
#define COPPERPOINT_ROLLOUT_ELECTION_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "rollout/plan.h"
#include "rollout/upgrade_order.h"

namespace copperpoint::rollout {

class Election {
 public:
  // Returns whether the member of that name is alive according to the membership.
  using IsAlive = std::function<bool(const std::string& name)>;

  // The time between two updates of the result.
  static constexpr Time kInterval = std::chrono::milliseconds(500);

  explicit Election(IsAlive is_alive) : is_alive_(std::move(is_alive)) {}

  // Starts the elections of a rollout in which this member has `own_rank`. `order` must stay valid until the
  // next call.
  void Start(Time now, const UpgradeOrder& order, int own_rank, std::uint64_t rollout_id);
  // Counts the members that are alive, if the latest result is older than kInterval.
  void Update(Time now);

  bool is_leader() const { return is_leader_; }
  // Whether a majority of the rollout's members is alive.
  bool has_majority() const { return has_majority_; }
  // When an update last found a majority; before the first one, the time of Start.
  Time majority_at() const { return majority_at_; }

 private:
  IsAlive is_alive_;
  const UpgradeOrder* order_ = nullptr;
  std::vector<std::uint64_t> hashes_;  // Indexed by rank.
  int own_rank_ = UpgradeOrder::kNotAMember;
  bool is_leader_ = false, has_majority_ = false;
  Time majority_at_{}, next_update_at_{};
};

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_ELECTION_H_
