// SPDX-License-Identifier: Apache-2.0
#include "membership/gossiper.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace copperpoint::membership {
namespace {

constexpr int kLeaveRecipients = 8;  // members that are notified when this one leaves

}  // namespace

Gossiper::Gossiper(const Options& options, const MemberTable& members, GossipQueue& queue,
                   const LocalMember& local, MessageSender& sender, RandomSource& random)
    : options_(options), members_(members), queue_(queue), local_(local), sender_(sender), random_(random) {}

void Gossiper::OnTimer(Time now) {
  if (queue_.empty() || now < queue_.next_round()) return;
  queue_.ScheduleRound(now + options_.gossip_period);
  const auto& living = members_.living();
  std::vector<int> chosen{local_.index()};
  for (int i = 0; i < options_.fanout && chosen.size() < living.size() && !queue_.empty(); ++i) {
    int index = living[random_.Below(living.size())];
    while (std::find(chosen.begin(), chosen.end(), index) != chosen.end())
      index = living[random_.Below(living.size())];
    chosen.push_back(index);
    sender_.Send(sender_.NewMessage(wire::KIND_GOSSIP), members_[index].record->address(), index, now);
  }
}

void Gossiper::AnnounceLeave(Time now) {
  wire::Claim claim;
  claim.set_status(wire::STATUS_LEFT);
  *claim.mutable_record() = *TombstoneOf(local_.record());
  claim.set_reported_by(local_.name());
  std::vector<int> others = members_.living();
  std::erase(others, local_.index());
  for (int i = 0; i < kLeaveRecipients && !others.empty(); ++i) {
    const std::size_t pick = random_.Below(others.size());
    wire::Message message = sender_.NewMessage(wire::KIND_GOSSIP);
    *message.add_claims() = claim;
    sender_.Send(std::move(message), members_[others[pick]].record->address(), others[pick], now);
    others[pick] = others.back();
    others.pop_back();
  }
}

}  // namespace copperpoint::membership
