// SPDX-License-Identifier: Apache-2.0
#include "rollout/election.h"

#include <xxhash.h>

#include <cstddef>

namespace copperpoint::rollout {

void Election::Start(Time now, const UpgradeOrder& order, int own_rank, std::uint64_t rollout_id) {
  order_ = &order;
  own_rank_ = own_rank;
  hashes_.clear();
  for (const MemberInfo& member : order.members)
    hashes_.push_back(XXH64(member.name.data(), member.name.size(), rollout_id + 1));
  is_leader_ = has_majority_ = false;
  next_update_at_ = majority_at_ = now;
}

void Election::Update(Time now) {
  if (!order_ || now < next_update_at_) return;
  next_update_at_ = now + kInterval;
  const bool is_member = own_rank_ != UpgradeOrder::kNotAMember;
  int living = is_member ? 1 : 0;
  is_leader_ = is_member;
  for (std::size_t rank = 0; rank < order_->members.size(); ++rank) {
    if (static_cast<int>(rank) == own_rank_ || !is_alive_(order_->members[rank].name)) continue;
    ++living;
    if (is_member && hashes_[rank] > hashes_[static_cast<std::size_t>(own_rank_)]) is_leader_ = false;
  }
  has_majority_ = 2 * living > static_cast<int>(order_->members.size());
  if (has_majority_) majority_at_ = now;
}

}  // namespace copperpoint::rollout
