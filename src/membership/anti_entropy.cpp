// SPDX-License-Identifier: Apache-2.0
#include "membership/anti_entropy.h"

#include <unordered_map>

namespace copperpoint::membership {
namespace {

// Returns whether the sender of a message with bucket hashes has another state of the bucket of `name`. A
// bucket whose hash the message does not have counts as different.
bool DiffersInBucket(const MemberTable& members, const wire::Message& message, const std::string& name) {
  const std::size_t bucket = MemberTable::BucketOf(name);
  const int index = static_cast<int>(bucket);
  if (index >= message.buckets_size()) return true;
  return message.buckets(index) != members.buckets()[bucket];
}

// Returns whether this member has a later state of `member` than the claim that another member sent.
bool IsLaterThan(const Member& member, const wire::Claim& claim) {
  const Record& own = *member.record;
  const Record& other = claim.record();
  if (Supersedes(own, other)) return true;
  if (own.refutation_number() != other.refutation_number() || own.incarnation() != other.incarnation())
    return false;
  const bool ended = !member.living() && claim.status() <= wire::STATUS_SUSPECT;
  return ended || IsLater(own.version(), other.version());
}

}  // namespace

AntiEntropy::AntiEntropy(const Options& options, const MemberTable& members, const ClaimBuilder& claims,
                         const LocalMember& local, MessageSender& sender, RandomSource& random, Time now)
    : options_(options),
      members_(members),
      claims_(claims),
      local_(local),
      sender_(sender),
      random_(random),
      next_start_(now) {}

void AntiEntropy::Start(const std::string& address, Time now) {
  if (!options_.with_anti_entropy && local_.established()) return;
  next_start_ =
      now + options_.sync_delay + options_.sync_delay * static_cast<int>(random_.Below(1000)) / 1000;
  wire::Message message = sender_.NewMessage(wire::KIND_SYNC);
  for (const std::uint64_t bucket : members_.buckets()) message.add_buckets(bucket);
  *message.add_claims() = claims_.ClaimOn(local_.index(), now);
  sender_.SendExchange(address, message);
}

std::string AntiEntropy::Reply(const wire::Message& hashes, Time now) {
  wire::Message reply = sender_.NewMessage(wire::KIND_SYNC_REPLY);
  reply.set_to_incarnation(hashes.incarnation());
  for (const std::uint64_t bucket : members_.buckets()) reply.add_buckets(bucket);
  members_.ForEach([&](int index, const Member& member) {
    if (!DiffersInBucket(members_, hashes, member.record->name())) return;
    // A claim on a suspect has no complete record, so that a claim with the record is sent before it.
    if (member.status == MemberStatus::kSuspect) *reply.add_claims()->mutable_record() = *member.record;
    *reply.add_claims() = claims_.ClaimOn(index, now);
  });
  return sender_.Encode(reply);
}

wire::Message AntiEntropy::MissingAtSender(const wire::Message& reply, Time now) {
  std::unordered_map<std::string, const wire::Claim*> received;
  for (const wire::Claim& claim : reply.claims()) received[claim.record().name()] = &claim;
  wire::Message push = sender_.NewMessage(wire::KIND_PUSH);
  push.set_to_incarnation(reply.incarnation());
  members_.ForEach([&](int index, const Member& member) {
    if (!DiffersInBucket(members_, reply, member.record->name())) return;
    const auto found = received.find(member.record->name());
    if (found != received.end() && !IsLaterThan(member, *found->second)) return;
    *push.add_claims() = claims_.ClaimOn(index, now);
  });
  return push;
}

}  // namespace copperpoint::membership
