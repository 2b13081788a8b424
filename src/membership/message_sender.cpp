// SPDX-License-Identifier: Apache-2.0
#include "membership/message_sender.h"

#include <algorithm>
#include <utility>

namespace copperpoint::membership {
namespace {

constexpr std::size_t kReservedBytes = 16;  // the bytes of a datagram that claims never use

// Returns the number of times that each member sends a claim (Options::retransmit_factor).
int MaxTransmissions(std::size_t members, int factor) {
  int digits = 1;
  for (; members >= 10; members /= 10) ++digits;
  return factor * digits;
}

}  // namespace

MessageSender::MessageSender(const Options& options, const peers::FrameCodec& codec,
                             const MemberTable& members, GossipQueue& queue, const DocumentStore& documents,
                             const ClaimBuilder& claims, const LocalMember& local, Output& output,
                             Counters& counters, Time now)
    : options_(options),
      codec_(codec),
      members_(members),
      queue_(queue),
      documents_(documents),
      claims_(claims),
      local_(local),
      output_(output),
      counters_(counters),
      allowance_(options.max_gossip_bytes_per_s, now) {}

wire::Message MessageSender::NewMessage(wire::Kind kind) {
  wire::Message message;
  message.set_kind(kind);
  message.set_from(local_.name());
  message.set_incarnation(local_.incarnation());
  message.set_refutation_number(local_.record().refutation_number());
  message.set_sequence(++sequence_);
  message.set_membership_hash(members_.hash());
  documents_.AddVersionsTo(&message);
  return message;
}

void MessageSender::Send(wire::Message message, const std::string& address, int recipient, Time now) {
  if (recipient != MemberTable::kNotFound) {
    const Member& member = members_[recipient];
    message.set_to_incarnation(member.record->incarnation());
    if (member.status != MemberStatus::kAlive) *message.add_claims() = claims_.ClaimOn(recipient, now);
  }
  const std::size_t used = peers::kHeaderBytes + message.ByteSizeLong() + kReservedBytes;
  if (used < peers::kMaxDatagramBytes && message.to_incarnation() != 0 && !queue_.empty()) {
    const std::size_t max_bytes = std::min(peers::kMaxDatagramBytes - used, allowance_.Available(now));
    const int max_transmissions = MaxTransmissions(members_.living().size(), options_.retransmit_factor);
    allowance_.Spend(queue_.Fill(&message, max_bytes, max_transmissions, now));
  }
  std::string bytes = codec_.Encode(message);
  ++counters_.sent;
  counters_.sent_bytes += bytes.size();
  output_.datagrams.push_back({address, std::move(bytes)});
}

void MessageSender::SendExchange(const std::string& address, const wire::Message& message) {
  ++counters_.exchanges;
  output_.exchanges.push_back({address, codec_.Encode(message)});
  counters_.exchanged_bytes += output_.exchanges.back().bytes.size();
}

}  // namespace copperpoint::membership
