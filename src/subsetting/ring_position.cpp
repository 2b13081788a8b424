// SPDX-License-Identifier: Apache-2.0
#include "subsetting/ring_position.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <string_view>
#include <utility>

namespace copperpoint::subsetting {
namespace {

constexpr std::uint64_t kRankSeed = 4;  // seed of the hash of names; must be the same at all proxies
constexpr int kUnconvergedChecks = 4;   // checks per min_move_interval while the membership does not converge

// Returns whether the proxy named `a` ranks before the one named `b`. Proxies rank by the hash of their
// names; the names themselves break ties, so that all proxies compute the same ranks.
bool RanksBefore(const std::string& a, const std::string& b) {
  const auto hash_a = XXH64(a.data(), a.size(), kRankSeed);
  const auto hash_b = XXH64(b.data(), b.size(), kRankSeed);
  return hash_a != hash_b ? hash_a < hash_b : a < b;
}

}  // namespace

std::optional<double> RingOffsetAmong(const std::vector<Peer>& peers, const std::string& name) {
  const auto self = std::find_if(peers.begin(), peers.end(), [&](const Peer& p) { return p.name == name; });
  if (self == peers.end()) return std::nullopt;
  std::set<std::string_view> zones;
  double rank = 0, peers_of_zone = 0;
  for (const Peer& peer : peers) {
    zones.insert(peer.zone);
    if (peer.zone != self->zone) continue;
    ++peers_of_zone;
    rank += RanksBefore(peer.name, name);
  }
  const auto zone_rank = static_cast<double>(std::distance(zones.begin(), zones.find(self->zone)));
  return (rank + zone_rank / static_cast<double>(zones.size())) / peers_of_zone;
}

// A draining proxy takes no more clients, and is treated like one that has left.
bool RingPosition::Serves(const membership::MemberTable& members, int index) {
  return index != membership::MemberTable::kNotFound && members[index].living() &&
         members[index].record->state() <= static_cast<std::uint32_t>(membership::MemberState::kServing);
}

std::optional<double> RingPosition::Update(const membership::Membership& membership, membership::Time now) {
  const membership::MemberTable& members = membership.members();
  const bool changed = members.hash() != table_hash_;
  if (!membership.established() || membership.stopped() || (!changed && now < next_)) return std::nullopt;
  table_hash_ = members.hash();
  if (!std::exchange(pending_, true)) changed_ = now;
  UpdatePeers(members, now);
  // The first offset is used at once, since it closes no connections.
  const bool may_move = !ring_offset_ || now >= moved_ + options_.min_move_interval;
  const bool settled = membership.converged() || now >= changed_ + options_.max_unconverged_wait;
  if (!may_move || !settled) {
    next_ = std::min(next_, may_move ? now + options_.min_move_interval / kUnconvergedChecks
                                     : moved_ + options_.min_move_interval);
    return std::nullopt;
  }
  pending_ = false;
  std::vector<Peer> peers;
  peers.reserve(peers_.size());
  for (const auto& [name, peer] : peers_) peers.push_back({name, peer.zone});
  const std::optional<double> offset = RingOffsetAmong(peers, membership.self().name());
  if (!offset || offset == ring_offset_) return std::nullopt;
  moved_ = now;
  return ring_offset_ = offset;
}

void RingPosition::UpdatePeers(const membership::MemberTable& members, membership::Time now) {
  for (const int index : members.living()) {
    const membership::Record& record = *members[index].record;
    if (Serves(members, index)) peers_[record.name()] = {record.zone(), kServing};
  }
  next_ = membership::Time::max();
  for (auto entry = peers_.begin(); entry != peers_.end();) {
    auto& [name, peer] = *entry;
    if (peer.counts_until == kServing && !Serves(members, members.Find(name)))
      peer.counts_until = now + options_.departed_retention;
    if (peer.counts_until > now) next_ = std::min(next_, peer.counts_until);
    entry = peer.counts_until > now ? std::next(entry) : peers_.erase(entry);
  }
}

}  // namespace copperpoint::subsetting
