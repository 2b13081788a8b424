// SPDX-License-Identifier: Apache-2.0
//
// Whole views compared over TCP: hashes of buckets there, what differs back, and what the other lacked there
// again.
#include <unordered_map>
#include <utility>

#include "membership/membership.h"

namespace copperpoint::membership {

void Membership::Sync(const std::string& address, Time now) {
  if (!options_.with_anti_entropy && established_) return;
  next_sync_ = now + options_.sync_delay + options_.sync_delay * static_cast<int>(random_.Below(1000)) / 1000;
  wire::Message message = Begin(wire::KIND_SYNC);
  for (const std::uint64_t bucket : members_.buckets()) message.add_buckets(bucket);
  *message.add_claims() = ClaimOf(me_, now);
  Exchange(address, message);
}

void Membership::Exchange(const std::string& address, const wire::Message& message) {
  ++counters_.exchanges;
  output_.exchanges.push_back({address, codec_.Encode(message)});
  counters_.exchanged_bytes += output_.exchanges.back().bytes.size();
}

std::string Membership::OnExchange(Time now, std::string_view frame) {
  if (stopped_) return "";
  now = Enter(now);
  counters_.exchanged_bytes += frame.size();
  wire::Message message;
  if (Open(frame, &message) != peers::FrameError::kNone) return "";
  if (!Admit(message, "", now)) return "";
  if (message.kind() == wire::KIND_PUSH) {
    if (message.to_incarnation() == incarnation_) TakeClaims(message, /*whole=*/true, now);
    return "";
  }
  if (message.kind() == wire::KIND_FETCH) return AnswerFetch(message);
  if (message.kind() != wire::KIND_SYNC) return "";
  std::string answer = AnswerSync(message, now);
  // Whoever asks tells of itself alone, which it may do without having known this incarnation.
  if (message.claims_size() == 1 && message.claims(0).status() == wire::STATUS_ALIVE &&
      message.claims(0).record().name() == message.from() &&
      message.claims(0).record().incarnation() == message.incarnation())
    Merge(message.claims(0), message.from(), /*whole=*/true, now);
  counters_.exchanged_bytes += answer.size();
  return answer;
}

std::string Membership::AnswerSync(const wire::Message& message, Time now) {
  wire::Message answer = Begin(wire::KIND_SYNC_REPLY);
  answer.set_to_incarnation(message.incarnation());
  for (const std::uint64_t bucket : members_.buckets()) answer.add_buckets(bucket);
  const auto differs = [&](const std::string& name) {
    const auto bucket = static_cast<int>(MemberTable::BucketOf(name));
    return bucket >= message.buckets_size() ||
           message.buckets(bucket) != members_.buckets()[static_cast<std::size_t>(bucket)];
  };
  members_.ForEach([&](int at, const Member& entry) {
    if (!differs(entry.record->name())) return;
    if (entry.status == MemberStatus::kSuspect) *answer.add_claims()->mutable_record() = *entry.record;
    *answer.add_claims() = ClaimOf(at, now);
  });
  return codec_.Encode(answer);
}

void Membership::OnReply(Time now, std::string_view frame) {
  if (stopped_) return;
  now = Enter(now);
  counters_.exchanged_bytes += frame.size();
  wire::Message message;
  if (Open(frame, &message) != peers::FrameError::kNone) return;
  if (message.kind() == wire::KIND_DOCUMENT && Admit(message, "", now)) return TakeDocument(message);
  if (message.kind() != wire::KIND_SYNC_REPLY || message.to_incarnation() != incarnation_ ||
      !Admit(message, "", now))
    return;
  // What the other lacks of the buckets that differ, before its claims are taken.
  std::unordered_map<std::string, const wire::Claim*> theirs;
  for (const wire::Claim& claim : message.claims()) theirs[claim.record().name()] = &claim;
  wire::Message push = Begin(wire::KIND_PUSH);
  push.set_to_incarnation(message.incarnation());
  members_.ForEach([&](int at, const Member& entry) {
    const std::size_t bucket = MemberTable::BucketOf(entry.record->name());
    if (static_cast<int>(bucket) < message.buckets_size() &&
        message.buckets(static_cast<int>(bucket)) == members_.buckets()[bucket])
      return;
    const auto found = theirs.find(entry.record->name());
    if (found != theirs.end()) {
      const Record& record = found->second->record();
      const bool newer = Supersedes(entry.record->refutation_number(), entry.record->incarnation(),
                                    record.refutation_number(), record.incarnation());
      const bool same = entry.record->refutation_number() == record.refutation_number() &&
                        entry.record->incarnation() == record.incarnation();
      const bool more = same && ((!entry.living() && found->second->status() <= wire::STATUS_SUSPECT) ||
                                 IsLater(entry.record->version(), record.version()));
      if (!newer && !more) return;
    }
    *push.add_claims() = ClaimOf(at, now);
  });
  TakeClaims(message, /*whole=*/true, now);
  if (stopped_) return;
  established_ = true;
  const int from = members_.Find(message.from());
  if (from == MemberTable::kNotFound) return;
  TakeHeads(message, members_[from].record->address(), now);
  if (push.claims_size() > 0) Exchange(members_[from].record->address(), push);
}

}  // namespace copperpoint::membership
