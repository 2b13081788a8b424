// SPDX-License-Identifier: Apache-2.0
//
// Messages in and out: who may be listened to, and what each kind asks for.
#include <algorithm>
#include <utility>

#include "membership/membership.h"

namespace copperpoint::membership {
namespace {

constexpr Time kRefusals = std::chrono::seconds(1);  // at most one answer to what we cannot read in so long
constexpr std::size_t kReserve = 16;                 // bytes of a datagram that no claim may take
constexpr std::size_t kMostRelays = 256;
constexpr std::size_t kMostTooNew = 64;

int Retransmissions(std::size_t n, int factor) {
  int digits = 1;
  for (; n >= 10; n /= 10) ++digits;
  return factor * digits;
}

}  // namespace

wire::Message Membership::Begin(wire::Kind kind) {
  wire::Message message;
  message.set_kind(kind);
  message.set_from(self().name());
  message.set_incarnation(incarnation_);
  message.set_refutation_number(self().refutation_number());
  message.set_sequence(++sequence_);
  message.set_membership_hash(members_.hash());
  documents_.Name(&message);
  return message;
}

// To the member at `at`, where it is known. One that is suspected or thought dead is told so before all else.
void Membership::Send(wire::Message message, const std::string& to, int at, Time now) {
  if (at != MemberTable::kNotFound) {
    const Member& entry = members_[at];
    message.set_to_incarnation(entry.record->incarnation());
    if (entry.status != MemberStatus::kAlive) *message.add_claims() = ClaimOf(at, now);
  }
  const std::size_t used = peers::kHeaderBytes + message.ByteSizeLong() + kReserve;
  if (used < peers::kMaxDatagramBytes && message.to_incarnation() != 0 && !queue_.empty())
    allowance_ -= static_cast<double>(
        queue_.Fill(&message, std::min(peers::kMaxDatagramBytes - used, Allowance(now)),
                    Retransmissions(members_.living().size(), options_.retransmit_factor), now));
  std::string bytes = codec_.Encode(message);
  ++counters_.sent;
  counters_.sent_bytes += bytes.size();
  output_.datagrams.push_back({to, std::move(bytes)});
}

// A storm of events, as when all restart at once, is told at a bounded rate. Probes and answers go on.
std::size_t Membership::Allowance(Time now) {
  const auto rate = static_cast<double>(options_.max_gossip_bytes_per_s);
  allowance_ = std::min(rate, allowance_ + rate * std::chrono::duration<double>(now - allowed_at_).count());
  allowed_at_ = now;
  return static_cast<std::size_t>(std::max(0.0, allowance_));
}

void Membership::Gossip(Time now) {
  next_gossip_ = now + options_.gossip_period;
  const auto& living = members_.living();
  std::vector<int> told{me_};
  for (int i = 0; i < options_.fanout && told.size() < living.size() && !queue_.empty(); ++i) {
    int at = living[random_.Below(living.size())];
    while (std::find(told.begin(), told.end(), at) != told.end()) at = living[random_.Below(living.size())];
    told.push_back(at);
    Send(Begin(wire::KIND_GOSSIP), members_[at].record->address(), at, now);
  }
}

peers::FrameError Membership::Open(std::string_view bytes, wire::Message* message) {
  const peers::FrameError error = codec_.Decode(bytes, message);
  if (error != peers::FrameError::kNone) ++counters_.rejected[static_cast<std::size_t>(error)];
  return error;
}

void Membership::OnDatagram(Time now, const std::string& from, std::string_view bytes) {
  if (stopped_) return;
  now = Enter(now);
  ++counters_.received;
  counters_.received_bytes += bytes.size();
  if (bytes.size() > peers::kMaxDatagramBytes) {
    ++counters_.oversized;
    return;
  }
  wire::Message message;
  const peers::FrameError error = Open(bytes, &message);
  if (error != peers::FrameError::kNone) {
    if (error == peers::FrameError::kTooNew && now >= next_refusal_) {
      next_refusal_ = now + kRefusals;
      wire::Message answer = Begin(wire::KIND_TOO_NEW);
      answer.set_newest_readable_version(peers::kFormatVersion);
      Send(std::move(answer), from, MemberTable::kNotFound, now);
      Tell(Event::Kind::kTooNew, from);
    }
    return;
  }
  if (Admit(message, from, now)) OnMessage(message, from, now);
}

// Nothing is taken from an older incarnation, nothing twice, and nothing about others that was said to an
// older incarnation of this member.
bool Membership::Admit(const wire::Message& message, const std::string& from, Time now) {
  if (message.from() == self().name()) {
    if (message.incarnation() != incarnation_) OnRival(message, from, now);
    return false;
  }
  const int at = members_.Find(message.from());
  const bool retired = ended_.contains(message.incarnation());
  if (retired && at == MemberTable::kNotFound) {
    ++counters_.replays;
    return false;
  }
  if (at == MemberTable::kNotFound) {
    if (now >= next_sync_ && message.kind() == wire::KIND_PING) Sync(from, now);
    return true;
  }
  Member& entry = members_.Mutable(at);
  if (entry.record->incarnation() != message.incarnation()) {
    if (!Supersedes(message.refutation_number(), message.incarnation(), entry.record->refutation_number(),
                    entry.record->incarnation())) {
      if (message.kind() == wire::KIND_SYNC)
        return true;  // one that has just started: it is told what to go above
      ++counters_.older_incarnations;
      if (now >= next_refusal_) {  // a living one learns that its name is another's
        next_refusal_ = now + kRefusals;
        wire::Message answer = Begin(wire::KIND_GOSSIP);
        *answer.add_claims() = ClaimOf(at, now);
        answer.set_to_incarnation(message.incarnation());
        Send(std::move(answer), from, MemberTable::kNotFound, now);
      }
      return false;
    }
    if (now >= next_sync_) Sync(from, now);
    return true;
  }
  const auto ahead = static_cast<std::int32_t>(message.sequence() - entry.last_sequence);
  if (ahead > 0) {
    entry.seen_sequences = ahead >= 64 ? 0 : entry.seen_sequences << ahead;
    entry.seen_sequences |= 1;
    entry.last_sequence = message.sequence();
  } else if (ahead <= -64 || (entry.seen_sequences >> -ahead & 1) != 0) {
    ++counters_.replays;
    return false;
  } else {
    entry.seen_sequences |= std::uint64_t{1} << -ahead;
  }
  if (entry.living()) {
    if (IsLater(message.refutation_number(), entry.record->refutation_number()))
      Revive(at, WithRefutationNumber(*entry.record, message.refutation_number()), now);
    Heard(at, now, now);
  } else if (entry.status == MemberStatus::kDead && now >= next_sync_) {
    Sync(entry.record->address(), now);  // it lives: what each of us missed is told at once
  }
  return true;
}

// Another process under this member's name. The one whose claim goes before keeps it; one that has only just
// started takes it over, as after a restart.
void Membership::OnRival(const wire::Message& message, const std::string& from, Time now) {
  if (Supersedes(message.refutation_number(), message.incarnation(), self().refutation_number(),
                 incarnation_)) {
    if (!established_) return Refute(message.refutation_number(), now);
    Tell(Event::Kind::kNameTaken, self().name(), from);
    return Stop();
  }
  if (now < next_refusal_) return;
  next_refusal_ = now + kRefusals;
  Send(Begin(wire::KIND_PING), from, MemberTable::kNotFound, now);
}

void Membership::OnMessage(const wire::Message& message, const std::string& from, Time now) {
  const bool to_me = message.to_incarnation() == incarnation_;
  if (!to_me && message.to_incarnation() != 0) ++counters_.misaddressed;
  const int at = members_.Find(message.from());
  // Of others only a member may speak, and only to this incarnation.
  if (to_me && at != MemberTable::kNotFound && members_[at].record->incarnation() == message.incarnation())
    TakeClaims(message, /*whole=*/false, now);
  const std::string& address = at == MemberTable::kNotFound ? from : members_[at].record->address();
  const bool of_member =
      to_me && at != MemberTable::kNotFound && members_[at].record->incarnation() == message.incarnation();
  if (of_member) TakeHeads(message, address, now);
  switch (message.kind()) {
    case wire::KIND_PING: {
      wire::Message ack = Begin(wire::KIND_ACK);
      ack.set_probe(message.probe());
      Send(std::move(ack), address, at, now);
      break;
    }
    case wire::KIND_ACK:
      OnAck(message, now);
      break;
    case wire::KIND_INDIRECT_PING:
      if (to_me) OnPingFor(message, address, now);
      break;
    case wire::KIND_APPLICATION:
      if (of_member && message.body().size() <= options_.max_message_bytes)
        output_.messages.push_back({message.from(), message.topic(), message.body()});
      break;
    default:
      break;
  }
  if (!stopped_ && at != MemberTable::kNotFound) Compare(message, at, now);
}

void Membership::OnAck(const wire::Message& message, Time now) {
  if (const auto relay = std::find_if(relays_.begin(), relays_.end(),
                                      [&](const Relay& r) { return r.id == message.probe(); });
      relay != relays_.end() && relay->target == message.from()) {
    wire::Message ack = Begin(wire::KIND_ACK);
    ack.set_probe(relay->asker_probe);
    ack.set_target(relay->target);
    const int asker = members_.Find(relay->asker);
    const std::string address = relay->asker_address;
    relays_.erase(relay);
    return Send(std::move(ack), address, asker, now);
  }
  const Probe probe = prober_.Take(message.probe());
  if (probe.target.empty()) return;
  // Through another: the target spoke to it, not to us.
  if (!message.target().empty() && message.target() == probe.target) {
    if (const int at = members_.Find(probe.target); at != MemberTable::kNotFound && members_[at].living())
      Heard(at, now, now);
  }
}

void Membership::OnPingFor(const wire::Message& message, const std::string& from, Time now) {
  const int at = members_.Find(message.target());
  if (at == MemberTable::kNotFound || at == me_ || relays_.size() >= kMostRelays) return;
  // What this member knows goes back at once; what the target says, when it does.
  wire::Message nack = Begin(wire::KIND_NACK);
  nack.set_probe(message.probe());
  if (const Member& entry = members_[at];
      entry.living() && now - entry.last_contact < options_.contact_timeout)
    *nack.add_last_contacts() = HeardOf(at, entry.last_contact, now);
  Send(std::move(nack), from, members_.Find(message.from()), now);
  const std::uint32_t id = prober_.NewId();
  relays_.push_back(
      {id, message.probe(), message.from(), from, message.target(), now + options_.direct_probe_timeout});
  wire::Message ping = Begin(wire::KIND_PING);
  ping.set_probe(id);
  Send(std::move(ping), members_[at].record->address(), at, now);
}

// Whoever differs for a while without news is asked for all that differs.
void Membership::Compare(const wire::Message& message, int at, Time now) {
  if (!members_[at].living() || message.membership_hash() == 0) return;
  if (message.membership_hash() == members_.hash()) {
    agreed_ = std::min(4, agreed_ + 1);
    last_agreed_ = now;
    return;
  }
  agreed_ = 0;
  // Where news never cease, a member that agrees with nobody for a while has missed some.
  const bool lost = now - last_agreed_ >= 5 * options_.sync_delay;
  if ((lost || now - changed_ >= options_.sync_delay) && now >= next_sync_)
    Sync(members_[at].record->address(), now);
}

}  // namespace copperpoint::membership
