// SPDX-License-Identifier: Apache-2.0
//
// Elects the leader of a rollout: of its living members the one with the greatest hash. Every member decides
// for itself by the membership; for a while two may lead, which progress.h makes harmless.
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
  // Whether a member of that name is alive, by the membership.
  using IsAlive = std::function<bool(const std::string& name)>;

  // The result is this old at most.
  static constexpr Time kInterval = std::chrono::milliseconds(500);

  explicit Election(IsAlive is_alive) : is_alive_(std::move(is_alive)) {}

  // A new rollout, of which this member has that rank. `order` must outlive its election.
  void Start(Time now, const UpgradeOrder& order, int own_rank, std::uint64_t rollout_id);
  // Counts the living members, if the latest result is out of date.
  void Update(Time now);

  bool is_leader() const { return is_leader_; }
  bool has_majority() const { return has_majority_; }  // of the rollout's members lives
  Time majority_at() const { return majority_at_; }    // when it last did; at first the start

 private:
  IsAlive is_alive_;
  const UpgradeOrder* order_ = nullptr;
  std::vector<std::uint64_t> hashes_;  // by rank
  int own_rank_ = UpgradeOrder::kNotAMember;
  bool is_leader_ = false, has_majority_ = false;
  Time majority_at_{}, next_update_at_{};
};

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_ELECTION_H_
