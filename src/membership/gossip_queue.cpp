// SPDX-License-Identifier: Apache-2.0
#include "membership/gossip_queue.h"

#include <iterator>
#include <utility>
#include <vector>

namespace copperpoint::membership {
namespace {

// The greatest number of bytes of a claim's tag and length, and of the growth of its age in the queue.
constexpr std::size_t kFieldBytes = 8;
// The number of claims too large for the rest of a message after which no further claims are tried.
constexpr int kMaxSkipped = 8;

// Returns the age in milliseconds of a fact that was `age_ms` old when it was queued.
std::uint32_t AgeAfter(std::uint32_t age_ms, Time queued_for) {
  return age_ms + static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(queued_for).count());
}

}  // namespace

void GossipQueue::Insert(Key key, Item item) {
  if (const auto found = items_.find(key); found != items_.end()) {
    by_transmissions_.erase({found->second.transmissions, key});
    items_.erase(found);
  }
  if (items_.size() >= max_claims_) {
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
  if (kind == kClaim) Remove(name);
  Item item;
  item.bytes = claim.ByteSizeLong() + kFieldBytes;
  item.claim = std::move(claim);
  item.queued_at = now;
  Insert({name, kind}, std::move(item));
}

void GossipQueue::Add(wire::LastContact last_contact, Time now) {
  const std::string name = last_contact.name();
  Item item;
  item.bytes = last_contact.ByteSizeLong() + kFieldBytes;
  item.last_contact = std::move(last_contact);
  item.queued_at = now;
  Insert({name, kLastContact}, std::move(item));
}

void GossipQueue::Remove(const std::string& name) {
  for (auto item = items_.lower_bound({name, 0}); item != items_.end() && item->first.first == name;) {
    by_transmissions_.erase({item->second.transmissions, item->first});
    item = items_.erase(item);
  }
}

void GossipQueue::Clear() {
  items_.clear();
  by_transmissions_.clear();
  dropped_ = 0;
}

std::size_t GossipQueue::Fill(wire::Message* message, std::size_t max_bytes, int max_transmissions,
                              Time now) {
  std::vector<Key> chosen;
  std::size_t used = 0;
  int skipped = 0;
  for (const auto& [transmissions, key] : by_transmissions_) {
    const Item& item = items_.at(key);
    if (used + item.bytes > max_bytes) {
      if (++skipped > kMaxSkipped) break;
      continue;
    }
    used += item.bytes;
    chosen.push_back(key);
  }
  for (const Key& key : chosen) {
    const auto found = items_.find(key);
    Item& item = found->second;
    if (key.second == kLastContact) {
      wire::LastContact& last_contact = *message->add_last_contacts() = item.last_contact;
      last_contact.set_age_ms(AgeAfter(last_contact.age_ms(), now - item.queued_at));
    } else {
      wire::Claim& claim = *message->add_claims() = item.claim;
      claim.set_age_ms(AgeAfter(claim.age_ms(), now - item.queued_at));
    }
    by_transmissions_.erase({item.transmissions, key});
    if (++item.transmissions >= max_transmissions) {
      items_.erase(found);
    } else {
      by_transmissions_.insert({item.transmissions, key});
    }
  }
  return used;
}

}  // namespace copperpoint::membership
