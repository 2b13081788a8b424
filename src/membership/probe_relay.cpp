// SPDX-License-Identifier: Apache-2.0
#include "membership/probe_relay.h"

#include <algorithm>
#include <utility>

namespace copperpoint::membership {
namespace {

constexpr std::size_t kMaxRelayed = 256;  // unanswered probes; further requests are ignored

}  // namespace

ProbeRelay::ProbeRelay(const Options& options, const MemberTable& members, const ClaimBuilder& claims,
                       const LocalMember& local, OutstandingProbes& probes, MessageSender& sender)
    : options_(options),
      members_(members),
      claims_(claims),
      local_(local),
      probes_(probes),
      sender_(sender) {}

void ProbeRelay::OnIndirectPing(const wire::Message& message, const std::string& from, Time now) {
  const int target = members_.Find(message.target());
  if (target == MemberTable::kNotFound || target == local_.index() || relayed_.size() >= kMaxRelayed) return;
  wire::Message nack = sender_.NewMessage(wire::KIND_NACK);
  nack.set_probe(message.probe());
  const Member& member = members_[target];
  if (member.living() && now - member.last_contact < options_.contact_timeout)
    *nack.add_last_contacts() = claims_.LastContactOf(target, member.last_contact, now);
  sender_.Send(std::move(nack), from, members_.Find(message.from()), now);
  const std::uint32_t id = probes_.NewId();
  relayed_.push_back(
      {id, message.probe(), message.from(), from, message.target(), now + options_.direct_probe_timeout});
  wire::Message ping = sender_.NewMessage(wire::KIND_PING);
  ping.set_probe(id);
  sender_.Send(std::move(ping), member.record->address(), target, now);
}

bool ProbeRelay::OnAck(const wire::Message& message, Time now) {
  const auto relayed = std::find_if(relayed_.begin(), relayed_.end(),
                                    [&](const RelayedProbe& probe) { return probe.id == message.probe(); });
  if (relayed == relayed_.end() || relayed->target != message.from()) return false;
  wire::Message ack = sender_.NewMessage(wire::KIND_ACK);
  ack.set_probe(relayed->requester_id);
  ack.set_target(relayed->target);
  const RelayedProbe probe = std::move(*relayed);
  relayed_.erase(relayed);
  sender_.Send(std::move(ack), probe.requester_address, members_.Find(probe.requester), now);
  return true;
}

Time ProbeRelay::next() const {
  Time due = kNever;
  for (const RelayedProbe& probe : relayed_) due = std::min(due, probe.expires);
  return due;
}

void ProbeRelay::OnTimer(Time now) {
  std::erase_if(relayed_, [&](const RelayedProbe& probe) { return now >= probe.expires; });
}

}  // namespace copperpoint::membership
