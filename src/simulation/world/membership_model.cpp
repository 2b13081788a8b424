// SPDX-License-Identifier: Apache-2.0
#include "simulation/world/membership_model.h"

#include <chrono>
#include <string>
#include <utility>

namespace copperpoint::simulation {
namespace {

std::string NameOf(std::uint32_t proxy) { return fmt::format("proxy-{}", proxy); }

// How long a proxy that has left keeps its place in the ring.
Micros RetentionTime() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             subsetting::RingPosition::Options().departed_retention)
      .count();
}

}  // namespace

MembershipModel::MembershipModel(World& world, std::function<void(std::uint32_t, Event)> deliver)
    : world_(world),
      deliver_(std::move(deliver)),
      members_(world.proxies.size()),
      sent_(world.proxies.size()) {}

bool MembershipModel::Serves(std::uint32_t proxy) const {
  return world_.proxies[proxy].running && !world_.proxies[proxy].draining;
}

void MembershipModel::Start() {
  const RingOffsetSource source = world_.scenario.fleet.ring_offsets;
  if (source == RingOffsetSource::kMembership) OnUpdate();
  if (source != RingOffsetSource::kRandom) return;
  for (std::uint32_t p = 0; p < world_.proxies.size(); ++p) {
    Random random(world_.drawn.seed, "position", p);
    deliver_(p, SubsetPosition{random.Unit()});
  }
}

void MembershipModel::OnProxyChanged() {
  if (world_.scenario.fleet.ring_offsets != RingOffsetSource::kMembership) return;
  const Micros delay = FromMs(world_.scenario.fleet.membership_delay_ms);
  world_.queue.Push(world_.now() + delay, EventPriority::kControl, kMembershipUpdate, 0, 0);
}

// Updates the members from the state of the proxies, and returns those that have a place in the ring.
std::vector<subsetting::Peer> MembershipModel::UpdateMembers() {
  const Micros retention = RetentionTime();
  std::vector<subsetting::Peer> peers;
  for (std::uint32_t p = 0; p < members_.size(); ++p) {
    Member& member = members_[p];
    if (Serves(p)) {
      member = {true, -1};
    } else if (member.known && member.left_at < 0) {
      member.left_at = world_.now();
      world_.queue.Push(world_.now() + retention, EventPriority::kControl, kMembershipUpdate, 0, 0);
    }
    member.known = member.known && (member.left_at < 0 || world_.now() < member.left_at + retention);
    if (member.known) peers.push_back({NameOf(p), std::to_string(world_.proxies[p].zone)});
  }
  return peers;
}

void MembershipModel::OnUpdate() {
  const std::vector<subsetting::Peer> peers = UpdateMembers();
  for (std::uint32_t p = 0; p < members_.size(); ++p) {
    const ProxyState& proxy = world_.proxies[p];
    if (!proxy.running) continue;
    const auto ring_offset = subsetting::RingOffsetAmong(peers, NameOf(p));
    if (!ring_offset) continue;
    if (sent_[p].incarnation == proxy.incarnation && sent_[p].ring_offset == *ring_offset) continue;
    sent_[p] = {proxy.incarnation, *ring_offset};
    deliver_(p, SubsetPosition{*ring_offset});
  }
}

}  // namespace copperpoint::simulation
