// SPDX-License-Identifier: Apache-2.0
#include "membership/membership.h"

#include <algorithm>
#include <utility>

namespace copperpoint::membership {
namespace {

constexpr Time kExpiryCheckPeriod = std::chrono::seconds(5);
constexpr std::uint64_t kIncarnationSalt = 0x9e3779b97f4a7c15u;

// The finalizer of SplitMix64, which distributes the bits of any seed that the host has drawn.
std::uint64_t MixBits(std::uint64_t x) {
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
  return x ^ (x >> 31);
}

// Returns an incarnation, which is never 0: a message to no particular incarnation has 0.
std::uint64_t IncarnationFrom(std::uint64_t seed) { return MixBits(seed + kIncarnationSalt) | 1; }

// Returns a random time within the first period, so that the first probes of the members are spread over it.
Time FirstProbe(const Options& options, RandomSource& random, Time now) {
  return now + options.probe_period * static_cast<int>(random.Below(1000)) / 1000;
}

// Returns whether the only claim of a message is that its sender is alive. A member that opens a
// synchronization sends such a claim, and need not know the incarnation of the recipient.
bool StatesSender(const wire::Message& message) {
  if (message.claims_size() != 1) return false;
  const wire::Claim& claim = message.claims(0);
  return claim.status() == wire::STATUS_ALIVE && claim.record().name() == message.from() &&
         claim.record().incarnation() == message.incarnation();
}

}  // namespace

Membership::Membership(const Options& options, peers::FrameCodec codec, Record self, std::uint64_t seed,
                       Time now, RecordPool* pool)
    : options_(options),
      codec_(std::move(codec)),
      clock_(options_, now),
      random_(MixBits(seed)),
      next_expiry_check_(now + kExpiryCheckPeriod),
      members_(pool),
      suspicions_(options_),
      gossip_queue_(options_.max_queued_claims, now),
      convergence_(options_, now),
      reply_limiter_(now),
      claims_(members_, suspicions_, self.name()),
      local_(options_, members_, gossip_queue_, convergence_, claims_, std::move(self), IncarnationFrom(seed),
             now),
      sender_(options_, codec_, members_, gossip_queue_, documents_, claims_, local_, output_, counters_,
              now),
      lifecycle_(options_, members_, suspicions_, gossip_queue_, convergence_, ended_, claims_, local_,
                 output_.events),
      name_conflict_(local_, sender_, reply_limiter_, output_.events),
      merger_(options_, members_, ended_, local_, lifecycle_, name_conflict_, counters_),
      anti_entropy_(options_, members_, claims_, local_, sender_, random_, now),
      filter_(members_, ended_, claims_, local_, lifecycle_, anti_entropy_, name_conflict_, sender_,
              reply_limiter_, counters_),
      detector_(options_, members_, suspicions_, probes_, gossip_queue_, local_, lifecycle_, sender_, random_,
                FirstProbe(options_, random_, now), now),
      relay_(options_, members_, claims_, local_, probes_, sender_),
      gossiper_(options_, members_, gossip_queue_, local_, sender_, random_),
      seeds_(options_, members_, local_, anti_entropy_, random_, now),
      document_exchange_(options_, documents_, local_, sender_, output_.documents, now) {}

void Membership::Settle(Time now, const std::vector<std::shared_ptr<const Record>>& others) {
  now = clock_.Enter(now);
  members_.Reserve(others.size());
  for (const auto& record : others)
    if (record->name() != local_.name()) members_.Add(record, MemberStatus::kAlive, now);
  local_.set_established();
}

void Membership::Join(Time now, std::vector<std::string> seeds) {
  seeds_.Join(std::move(seeds), clock_.Enter(now));
}

void Membership::OnDatagram(Time now, const std::string& from, std::string_view bytes) {
  if (stopped()) return;
  now = clock_.Enter(now);
  ++counters_.received;
  counters_.received_bytes += bytes.size();
  if (bytes.size() > peers::kMaxDatagramBytes) {
    ++counters_.oversized;
    return;
  }
  wire::Message message;
  const peers::FrameError error = Decode(bytes, &message);
  if (error == peers::FrameError::kTooNew && reply_limiter_.TryAcquire(now)) {
    wire::Message reply = sender_.NewMessage(wire::KIND_TOO_NEW);
    reply.set_newest_readable_version(peers::kFormatVersion);
    sender_.Send(std::move(reply), from, MemberTable::kNotFound, now);
    output_.events.push_back({Event::Kind::kTooNew, from, "", Time{}});
  }
  if (error == peers::FrameError::kNone && filter_.Accept(message, from, now)) OnMessage(message, from, now);
}

void Membership::OnMessage(const wire::Message& message, const std::string& from, Time now) {
  const bool to_this = message.to_incarnation() == local_.incarnation();
  if (!to_this && message.to_incarnation() != 0) ++counters_.misaddressed;
  if (IsFromMember(message)) merger_.MergeAll(message, ClaimMerger::Source::kGossip, now);
  // This is determined again, since the merged claims may have been on the sender.
  const bool from_member = IsFromMember(message);
  const int sender = members_.Find(message.from());
  const std::string address = sender == MemberTable::kNotFound ? from : members_[sender].record->address();
  if (from_member) document_exchange_.OnVersions(message, address, now);
  switch (message.kind()) {
    case wire::KIND_PING: {
      wire::Message ack = sender_.NewMessage(wire::KIND_ACK);
      ack.set_probe(message.probe());
      sender_.Send(std::move(ack), address, sender, now);
      break;
    }
    case wire::KIND_ACK:
      if (!relay_.OnAck(message, now)) detector_.OnAck(message, now);
      break;
    case wire::KIND_INDIRECT_PING:
      if (to_this) relay_.OnIndirectPing(message, address, now);
      break;
    case wire::KIND_APPLICATION:
      if (from_member && message.body().size() <= options_.max_message_bytes)
        output_.messages.push_back({message.from(), message.topic(), message.body()});
      break;
    default:
      break;
  }
  if (sender == MemberTable::kNotFound || !members_[sender].living() || message.membership_hash() == 0)
    return;
  if (convergence_.OnComparison(message.membership_hash() == members_.hash(), now))
    anti_entropy_.StartIfDue(members_[sender].record->address(), now);
}

std::string Membership::OnExchange(Time now, std::string_view frame) {
  if (stopped()) return "";
  now = clock_.Enter(now);
  counters_.exchanged_bytes += frame.size();
  wire::Message message;
  if (Decode(frame, &message) != peers::FrameError::kNone) return "";
  if (!filter_.Accept(message, "", now)) return "";
  switch (message.kind()) {
    case wire::KIND_PUSH:
      if (message.to_incarnation() == local_.incarnation())
        merger_.MergeAll(message, ClaimMerger::Source::kSync, now);
      return "";
    case wire::KIND_FETCH:
      return document_exchange_.Reply(message);
    case wire::KIND_SYNC: {
      std::string reply = anti_entropy_.Reply(message, now);
      if (StatesSender(message))
        merger_.Merge(message.claims(0), message.from(), ClaimMerger::Source::kSync, now);
      counters_.exchanged_bytes += reply.size();
      return reply;
    }
    default:
      return "";
  }
}

void Membership::OnReply(Time now, std::string_view frame) {
  if (stopped()) return;
  now = clock_.Enter(now);
  counters_.exchanged_bytes += frame.size();
  wire::Message message;
  if (Decode(frame, &message) != peers::FrameError::kNone) return;
  if (message.kind() == wire::KIND_DOCUMENT) {
    if (filter_.Accept(message, "", now)) document_exchange_.OnDocument(message);
  } else if (message.kind() == wire::KIND_SYNC_REPLY && message.to_incarnation() == local_.incarnation()) {
    if (filter_.Accept(message, "", now)) OnSyncReply(message, now);
  }
}

void Membership::OnSyncReply(const wire::Message& message, Time now) {
  const wire::Message push = anti_entropy_.MissingAtSender(message, now);
  merger_.MergeAll(message, ClaimMerger::Source::kSync, now);
  local_.set_established();
  const int sender = members_.Find(message.from());
  if (sender == MemberTable::kNotFound) return;
  const std::string address = members_[sender].record->address();
  document_exchange_.OnVersions(message, address, now);
  if (push.claims_size() > 0) sender_.SendExchange(address, push);
}

void Membership::OnTick(Time now) {
  if (stopped()) return;
  now = clock_.Enter(now);
  seeds_.CheckAlone(now);
  name_conflict_.OnTimer(now);
  detector_.OnTimer(now);
  relay_.OnTimer(now);
  seeds_.ContactIfDue(now);
  if (now >= next_expiry_check_) {
    next_expiry_check_ = now + kExpiryCheckPeriod;
    lifecycle_.RemoveExpired(now);
  }
  gossiper_.OnTimer(now);
}

Time Membership::next() const {
  if (stopped()) return kNever;
  return clock_.ToHost(std::min({detector_.next(), relay_.next(), seeds_.next(), name_conflict_.next(),
                                 gossiper_.next(), next_expiry_check_}));
}

Output Membership::Take() {
  clock_.ExpectWakeup(next());
  return std::exchange(output_, {});
}

void Membership::SetState(Time now, MemberState state) {
  if (stopped() || self().state() == static_cast<std::uint32_t>(state)) return;
  local_.Replace(local_.WithState(state), clock_.Enter(now));
}

bool Membership::Publish(Time now, const std::string& key, const std::string& value) {
  if (stopped()) return false;
  auto next = local_.WithMetadata(key, value);
  if (!IsWithinLimits(*next, options_)) return false;
  local_.Replace(std::move(next), clock_.Enter(now));
  return true;
}

bool Membership::SendMessage(Time now, const std::string& to, Topic topic, std::string body) {
  if (stopped() || body.size() > options_.max_message_bytes) return false;
  now = clock_.Enter(now);
  const int recipient = members_.Find(to);
  if (recipient == MemberTable::kNotFound || recipient == local_.index() || !members_[recipient].living())
    return false;
  wire::Message message = sender_.NewMessage(wire::KIND_APPLICATION);
  message.set_topic(topic);
  message.set_body(std::move(body));
  sender_.Send(std::move(message), members_[recipient].record->address(), recipient, now);
  return true;
}

bool Membership::PublishDocument(Time now, Topic topic, std::uint64_t version, std::string body) {
  if (stopped()) return false;
  clock_.Enter(now);
  return document_exchange_.Publish(topic, version, std::move(body));
}

void Membership::Leave(Time now) {
  if (stopped()) return;
  gossiper_.AnnounceLeave(clock_.Enter(now));
  local_.Stop();
}

bool Membership::converged() const {
  return established() && !stopped() && suspicions_.empty() && convergence_.Agrees(members_.living().size());
}

peers::FrameError Membership::Decode(std::string_view frame, wire::Message* message) {
  const peers::FrameError error = codec_.Decode(frame, message);
  if (error != peers::FrameError::kNone) ++counters_.rejected[static_cast<std::size_t>(error)];
  return error;
}

bool Membership::IsFromMember(const wire::Message& message) const {
  const int sender = members_.Find(message.from());
  return message.to_incarnation() == local_.incarnation() && sender != MemberTable::kNotFound &&
         members_[sender].record->incarnation() == message.incarnation();
}

}  // namespace copperpoint::membership
