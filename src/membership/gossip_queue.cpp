// SPDX-License-Identifier: Apache-2.0
#include "membership/gossip_queue.h"

#include <utility>
#include <vector>

namespace copperpoint::membership {
namespace {

constexpr std::size_t kFieldBytes = 8;  // tag, length and a longer age, at most
constexpr int kMostPassedOver = 8;      // claims too large for what is left of a message

std::uint32_t Aged(std::uint32_t age_ms, Time kept) {
  return age_ms + static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(kept).count());
}

}  // namespace

void GossipQueue::Put(Key key, Item item) {
  if (const auto found = items_.find(key); found != items_.end()) {
    by_transmissions_.erase({found->second.transmissions, key});
    items_.erase(found);
  }
  if (items_.size() >= most_) {
    const auto last = std::prev(by_transmissions_.end());
    items_.erase(last->second);
    by_transmissions_.erase(last);
    ++dropped_;
  }
  by_transmissions_.insert({item.transmissions, key});
  items_.emplace(std::move(key), std::move(item));
}

void GossipQueue::Add(wire::Claim claim, Time now, int kind) {
  const std::string name = claim.record().name();
  if (kind == kClaim) Forget(name);  // what was said before of it is old
  Item item;
  item.bytes = claim.ByteSizeLong() + kFieldBytes;
  item.claim = std::move(claim);
  item.at = now;
  Put({name, kind}, std::move(item));
}

void GossipQueue::Add(wire::LastContact heard, Time now) {
  const std::string name = heard.name();
  Item item;
  item.bytes = heard.ByteSizeLong() + kFieldBytes;
  item.heard = std::move(heard);
  item.at = now;
  Put({name, kLastContact}, std::move(item));
}

void GossipQueue::Forget(const std::string& name) {
  for (auto at = items_.lower_bound({name, 0}); at != items_.end() && at->first.first == name;) {
    by_transmissions_.erase({at->second.transmissions, at->first});
    at = items_.erase(at);
  }
}

std::size_t GossipQueue::Fill(wire::Message* message, std::size_t most_bytes, int times, Time now) {
  std::vector<Key> chosen;
  std::size_t used = 0;
  int passed_over = 0;
  for (const auto& [told, key] : by_transmissions_) {
    const Item& item = items_.at(key);
    if (used + item.bytes > most_bytes) {
      if (++passed_over > kMostPassedOver) break;
      continue;
    }
    used += item.bytes;
    chosen.push_back(key);
  }
  for (const Key& key : chosen) {
    const auto found = items_.find(key);
    Item& item = found->second;
    if (key.second == kLastContact) {
      wire::LastContact& heard = *message->add_last_contacts() = item.heard;
      heard.set_age_ms(Aged(heard.age_ms(), now - item.at));
    } else {
      wire::Claim& claim = *message->add_claims() = item.claim;
      claim.set_age_ms(Aged(claim.age_ms(), now - item.at));
    }
    by_transmissions_.erase({item.transmissions, key});
    if (++item.transmissions >= times) {
      items_.erase(found);
    } else {
      by_transmissions_.insert({item.transmissions, key});
    }
  }
  return used;
}

}  // namespace copperpoint::membership
