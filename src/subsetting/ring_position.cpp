// SPDX-License-Identifier: Apache-2.0
#include "subsetting/ring_position.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace copperpoint::subsetting {

std::optional<double> RingOffsetAmong(const std::vector<Peer>& peers, const std::string& name) {
  const auto me = std::find_if(peers.begin(), peers.end(), [&](const Peer& p) { return p.name == name; });
  if (me == peers.end()) return std::nullopt;
  // Names break ties, so that all rank alike.
  const auto place = [](const std::string& of) { return std::pair(XXH64(of.data(), of.size(), 4), &of); };
  const auto before = [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first < b.first : *a.second < *b.second;
  };
  const auto mine = place(name);
  std::set<std::string_view> zones;
  double rank = 0, of_zone = 0;
  for (const Peer& peer : peers) {
    zones.insert(peer.zone);
    if (peer.zone != me->zone) continue;
    ++of_zone;
    rank += before(place(peer.name), mine);
  }
  const auto zone = static_cast<double>(std::distance(zones.begin(), zones.find(me->zone)));
  return (rank + zone / static_cast<double>(zones.size())) / of_zone;
}

bool RingPosition::Serves(const membership::MemberTable& members, int at) {
  // One that drains takes no more clients: it keeps its place like one that went.
  return at != membership::MemberTable::kNotFound && members[at].living() &&
         members[at].record->state() <= static_cast<std::uint32_t>(membership::MemberState::kServing);
}

std::optional<double> RingPosition::Update(const membership::Membership& view, membership::Time now) {
  const bool changed = view.members().hash() != seen_;
  if (!view.established() || view.stopped() || (!changed && now < next_)) return std::nullopt;
  seen_ = view.members().hash();
  if (!std::exchange(pending_, true)) changed_ = now;
  CountPlaces(view.members(), now);
  // In doubt it stays where it is. The first position is taken at once: nothing moves by it yet.
  const bool free = !ring_offset_ || now >= moved_ + options_.min_hold;
  const bool sure = view.converged() || now >= changed_ + options_.max_unconverged_wait;
  if (!free || !sure) {
    next_ = std::min(next_, free ? now + options_.min_hold / 4 : moved_ + options_.min_hold);
    return std::nullopt;
  }
  pending_ = false;
  std::vector<Peer> peers;
  peers.reserve(places_.size());
  for (const auto& [name, place] : places_) peers.push_back({name, place.zone});
  const std::optional<double> turn = RingOffsetAmong(peers, view.self().name());
  if (!turn || turn == ring_offset_) return std::nullopt;
  moved_ = now;
  return ring_offset_ = turn;
}

void RingPosition::CountPlaces(const membership::MemberTable& members, membership::Time now) {
  for (const int at : members.living()) {
    if (Serves(members, at)) places_[members[at].record->name()] = {members[at].record->zone(), kHere};
  }
  next_ = membership::Time::max();
  for (auto of = places_.begin(); of != places_.end();) {
    auto& [name, place] = *of;
    if (place.until == kHere && !Serves(members, members.Find(name)))
      place.until = now + options_.departed_retention;
    if (place.until > now) next_ = std::min(next_, place.until);
    of = place.until > now ? std::next(of) : places_.erase(of);
  }
}

}  // namespace copperpoint::subsetting
