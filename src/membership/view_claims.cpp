// SPDX-License-Identifier: Apache-2.0
//
// What is said of members, and what is believed of it.
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "membership/membership.h"

namespace copperpoint::membership {
namespace {

constexpr Time kRivalAnswers = std::chrono::seconds(1);
constexpr std::size_t kMaxEnded = 4096;
constexpr Time kTelling = milliseconds(100);  // contact closer together than this are one

std::uint32_t Millis(Time time) {
  return static_cast<std::uint32_t>(
      std::max<std::int64_t>(0, std::chrono::duration_cast<milliseconds>(time).count()));
}

}  // namespace

bool Membership::Fits(const Record& record) const {
  if (record.name().empty() || record.name().size() > options_.max_name_bytes) return false;
  for (const std::string* text : {&record.address(), &record.zone(), &record.program(), &record.settings()})
    if (text->size() > options_.max_name_bytes) return false;
  if (record.metadata().size() > options_.max_metadata_entries) return false;
  for (const auto& [key, value] : record.metadata())
    if (key.size() > options_.max_name_bytes || value.size() > options_.max_metadata_value_bytes)
      return false;
  // With the largest header of ours it still has to go into one datagram.
  return record.ByteSizeLong() <= peers::kMaxDatagramBytes - 256;
}

wire::Claim Membership::ClaimOf(int at, Time now) const {
  const Member& entry = members_[at];
  wire::Claim claim;
  claim.set_status(static_cast<wire::Status>(entry.status));
  if (entry.status == MemberStatus::kAlive) {
    *claim.mutable_record() = *entry.record;
    return claim;
  }
  *claim.mutable_record() = *Bare(*entry.record);
  claim.set_age_ms(Millis(now - entry.status_since));
  const Suspicion* suspicion = const_cast<SuspicionTable&>(suspicions_).Find(at);
  claim.set_reported_by(suspicion && !suspicion->accusers.empty() ? suspicion->accusers.front()
                                                                  : self().name());
  return claim;
}

// `whole`: all that the other knows, however old; else news.
void Membership::TakeClaims(const wire::Message& message, bool whole, Time now) {
  for (const wire::Claim& claim : message.claims()) {
    if (stopped_) return;
    Merge(claim, message.from(), whole, now);
  }
  for (const wire::LastContact& heard : message.last_contacts()) {
    const int at = members_.Find(heard.name());
    if (at != MemberTable::kNotFound && at != me_ && members_[at].living() &&
        !IsLater(members_[at].record->refutation_number(), heard.refutation_number()))
      Heard(at, now - milliseconds(heard.age_ms()), now);
  }
}

void Membership::Merge(const wire::Claim& claim, const std::string& from, bool whole, Time now) {
  const Record& record = claim.record();
  if (record.name().empty() || record.name().size() > options_.max_name_bytes) return;
  if (record.name() == self().name()) return OnOwnName(claim, now);
  const int at = members_.Find(record.name());
  // An incarnation that was taken for over may have lost its name to an older one only for a while: where
  // both restart at once, the news of the process before may come later than that of the present one. It
  // alone can claim a later refutation number; what merely comes late cannot.
  if (ended_.contains(record.incarnation()) &&
      (at == MemberTable::kNotFound ||
       !Supersedes(record.refutation_number(), record.incarnation(), members_[at].record->refutation_number(),
                   members_[at].record->incarnation()))) {
    ++counters_.replays;
    return;
  }
  const std::string& by = claim.reported_by().empty() ? from : claim.reported_by();
  switch (claim.status()) {
    case wire::STATUS_ALIVE:
      return MergeAlive(claim, at, now);
    case wire::STATUS_SUSPECT: {
      if (at == MemberTable::kNotFound || !members_[at].living() || by == record.name()) return;
      const Record& known = *members_[at].record;
      if (record.incarnation() != known.incarnation() ||
          IsLater(known.refutation_number(), record.refutation_number()))
        return;
      if (IsLater(record.refutation_number(), known.refutation_number()))
        Revive(at, WithRefutationNumber(known, record.refutation_number()), now);
      return Accuse(at, by, now - milliseconds(claim.age_ms()), now);
    }
    case wire::STATUS_DEAD:
    case wire::STATUS_LEFT:
      return MergeGone(claim, by, whole, at, now);
    default:
      return;  // of a later version
  }
}

void Membership::MergeAlive(const wire::Claim& claim, int at, Time now) {
  const Record& record = claim.record();
  if (!Fits(record) || record.address().empty()) return;
  if (at == MemberTable::kNotFound) {
    if (members_.size() >= options_.max_members) return;
    at = members_.Add(std::make_shared<Record>(record), MemberStatus::kAlive, now);
    changed_ = now;
    agreed_ = 0;
    Tell(Event::Kind::kJoined, record.name());
    return queue_.Add(ClaimOf(at, now), now);
  }
  const Member& entry = members_[at];
  const Record& known = *entry.record;
  if (Supersedes(record.refutation_number(), record.incarnation(), known.refutation_number(),
                 known.incarnation()))
    return Revive(at, std::make_shared<Record>(record), now);
  if (record.incarnation() != known.incarnation() ||
      record.refutation_number() != known.refutation_number() || !entry.living())
    return;
  if (!IsLater(record.version(), known.version())) return;
  members_.Set(at, std::make_shared<Record>(record), entry.status, now);
  changed_ = now;
  agreed_ = 0;
  wire::Claim news;
  *news.mutable_record() = record;
  if (entry.status == MemberStatus::kAlive) queue_.Add(std::move(news), now);
}

// A claim that goes before what was known: it is alive.
void Membership::Revive(int at, std::shared_ptr<const Record> record, Time now) {
  const Member& entry = members_[at];
  const bool same = entry.record->incarnation() == record->incarnation();
  const MemberStatus was = entry.status;
  const bool whole = !record->address().empty();
  if (!entry.living() && !whole) return;
  if (!same) {
    ended_.erase(record->incarnation());
    EndIncarnation(entry.record->incarnation());
  }
  suspicions_.End(at);
  members_.Set(at, std::move(record), MemberStatus::kAlive, now);
  changed_ = now;
  agreed_ = 0;
  const std::string& name = members_[at].record->name();
  if (!same || was == MemberStatus::kLeft) {
    Tell(Event::Kind::kJoined, name);
  } else if (was == MemberStatus::kSuspect) {
    Tell(Event::Kind::kRefuted, name);
  } else if (was == MemberStatus::kDead) {
    Tell(Event::Kind::kHealed, name);
  }
  queue_.Add(ClaimOf(at, now), now);
}

void Membership::MergeGone(const wire::Claim& claim, const std::string& by, bool whole, int at, Time now) {
  const Record& record = claim.record();
  const Time age = milliseconds(claim.age_ms());
  const MemberStatus status = claim.status() == wire::STATUS_LEFT ? MemberStatus::kLeft : MemberStatus::kDead;
  if (age > options_.tombstone_lifetime) return;
  if (at == MemberTable::kNotFound) {
    if (members_.size() < options_.max_members)
      members_.Mutable(members_.Add(Bare(record), status, now)).status_since = now - age;
    return;
  }
  Member& entry = members_.Mutable(at);
  const bool newer = Supersedes(record.refutation_number(), record.incarnation(),
                                entry.record->refutation_number(), entry.record->incarnation());
  const bool same = record.refutation_number() == entry.record->refutation_number() &&
                    record.incarnation() == entry.record->incarnation();
  if (!newer && !same) return;
  if (!entry.living()) {
    if (newer || status == MemberStatus::kLeft) members_.Set(at, Bare(record), status, now);
    return;
  }
  // An old death, and one of somebody who spoke just now, is a suspicion: whoever lives gets to answer it. So
  // halves of a fleet that meet again don't bury each other by what each thought of the other.
  const bool fresh = !whole && age < 2 * options_.contact_timeout &&
                     now - entry.last_contact >= options_.contact_timeout / 2;
  if (status == MemberStatus::kLeft || fresh || record.incarnation() != entry.record->incarnation())
    return Bury(at, status, by, claim.age_ms(), now);
  if (newer) Revive(at, WithRefutationNumber(*entry.record, record.refutation_number()), now);
  Accuse(at, by, now, now);
  if (Suspicion* suspicion = suspicions_.Find(at)) SuspicionTable::MakeConfirmer(*suspicion, now);
}

void Membership::OnOwnName(const wire::Claim& claim, Time now) {
  const Record& record = claim.record();
  if (record.incarnation() == incarnation_) {
    const bool untrue = claim.status() != wire::STATUS_ALIVE ||
                        IsLater(record.refutation_number(), self().refutation_number());
    if (untrue && !IsLater(self().refutation_number(), record.refutation_number()))
      Refute(record.refutation_number(), now);
    return;
  }
  if (!Supersedes(record.refutation_number(), record.incarnation(), self().refutation_number(), incarnation_))
    return;
  const bool gone = claim.status() == wire::STATUS_DEAD || claim.status() == wire::STATUS_LEFT;
  if (gone || !established_) return Refute(record.refutation_number(), now);
  if (rival_until_ > Time{}) return;
  rival_until_ = now + kRivalAnswers;
  rival_refutation_number_ = record.refutation_number();
  Send(Begin(wire::KIND_PING), record.address(), MemberTable::kNotFound, now);
}

void Membership::Accuse(int at, const std::string& by, Time since, Time now) {
  if (at == me_) return;
  const Member& entry = members_[at];
  Suspicion* suspicion = suspicions_.Find(at);
  if (!suspicion) {
    members_.Set(at, entry.record, MemberStatus::kSuspect, now);
    suspicion = &suspicions_.Begin(at, entry.record->refutation_number(), since);
    if (by == self().name() || IsConfirmer(at)) SuspicionTable::MakeConfirmer(*suspicion, now);
    Tell(Event::Kind::kSuspected, entry.record->name(), by);
  }
  suspicion->since = std::min(suspicion->since, since);
  const int number = SuspicionTable::Accuse(*suspicion, by);
  if (number < 0) return;
  wire::Claim claim = ClaimOf(at, now);
  claim.set_reported_by(by);
  claim.set_age_ms(Millis(now - suspicion->since));
  queue_.Add(std::move(claim), now, number == 0 ? GossipQueue::kClaim : GossipQueue::kAccuser + number);
  if (number == 0 && now - entry.last_contact < options_.contact_timeout)
    queue_.Add(HeardOf(at, entry.last_contact, now), now);
}

wire::LastContact Membership::HeardOf(int at, Time when, Time now) const {
  const Record& record = *members_[at].record;
  wire::LastContact heard;
  heard.set_name(record.name());
  heard.set_refutation_number(record.refutation_number());
  heard.set_age_ms(Millis(now - when));
  return heard;
}

void Membership::Heard(int at, Time when, Time now) {
  Member& entry = members_.Mutable(at);
  if (when <= entry.last_contact) return;
  const bool tell = entry.status == MemberStatus::kSuspect && when - entry.last_contact >= kTelling;
  entry.last_contact = when;
  if (tell) queue_.Add(HeardOf(at, when, now), now);
}

void Membership::Bury(int at, MemberStatus status, const std::string& by, std::uint32_t age_ms, Time now) {
  const std::string name = members_[at].record->name();
  const Time heard = members_[at].last_contact;
  suspicions_.End(at);
  members_.Set(at, Bare(*members_[at].record), status, now);
  members_.Mutable(at).status_since = now - milliseconds(age_ms);
  changed_ = now;
  agreed_ = 0;
  Tell(status == MemberStatus::kLeft ? Event::Kind::kLeft : Event::Kind::kDead, name, by, now - heard);
  wire::Claim claim = ClaimOf(at, now);
  claim.set_reported_by(by);
  queue_.Add(std::move(claim), now);
}

// Picked by a hash of both names, so that every member picks the same without a word.
bool Membership::IsConfirmer(int at) const {
  const std::string& suspect = members_[at].record->name();
  const std::uint64_t seed = XXH64(suspect.data(), suspect.size(), 3);
  const auto rank = [&](const std::string& name) { return XXH64(name.data(), name.size(), seed); };
  const std::uint64_t mine = rank(self().name());
  int before = 0;
  for (const int other : members_.living()) {
    if (other != at && members_[other].status == MemberStatus::kAlive &&
        rank(members_[other].record->name()) > mine && ++before >= options_.confirmers)
      return false;
  }
  return true;
}

void Membership::EndIncarnation(std::uint64_t incarnation) {
  if (!ended_.insert(incarnation).second) return;
  ended_order_.push_back(incarnation);
  if (ended_order_.size() <= kMaxEnded) return;
  ended_.erase(ended_order_.front());
  ended_order_.pop_front();
}

}  // namespace copperpoint::membership
