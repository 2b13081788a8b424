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
constexpr std::size_t kMostRetired = 4096;
constexpr Time kTelling = milliseconds(100);  // signs of life closer together than this are one

std::uint32_t Millis(Time time) {
  return static_cast<std::uint32_t>(
      std::max<std::int64_t>(0, std::chrono::duration_cast<milliseconds>(time).count()));
}

}  // namespace

bool View::Fits(const Record& record) const {
  if (record.name().empty() || record.name().size() > options_.most_name) return false;
  for (const std::string* text : {&record.address(), &record.zone(), &record.program(), &record.settings()})
    if (text->size() > options_.most_name) return false;
  if (record.bag().size() > options_.most_bag) return false;
  for (const auto& [key, value] : record.bag())
    if (key.size() > options_.most_name || value.size() > options_.most_value) return false;
  // With the largest header of ours it still has to go into one datagram.
  return record.ByteSizeLong() <= peers::kMostDatagram - 256;
}

wire::Claim View::ClaimOf(int at, Time now) const {
  const Entry& entry = members_[at];
  wire::Claim claim;
  claim.set_status(static_cast<wire::Status>(entry.status));
  if (entry.status == Status::kAlive) {
    *claim.mutable_record() = *entry.record;
    return claim;
  }
  *claim.mutable_record() = *Bare(*entry.record);
  claim.set_age_ms(Millis(now - entry.since));
  const Suspicion* suspicion = const_cast<Suspicions&>(suspicions_).Find(at);
  claim.set_by(suspicion && !suspicion->accusers.empty() ? suspicion->accusers.front() : self().name());
  return claim;
}

// `whole`: all that the other knows, however old; else news.
void View::TakeClaims(const wire::Message& message, bool whole, Time now) {
  for (const wire::Claim& claim : message.claims()) {
    if (silent_) return;
    Merge(claim, message.from(), whole, now);
  }
  for (const wire::Heard& heard : message.heard()) {
    const int at = members_.Find(heard.name());
    if (at != Members::kNone && at != me_ && members_[at].living() &&
        !Later(members_[at].record->incarnation(), heard.incarnation()))
      Heard(at, now - milliseconds(heard.age_ms()), now);
  }
}

void View::Merge(const wire::Claim& claim, const std::string& from, bool whole, Time now) {
  const Record& record = claim.record();
  if (record.name().empty() || record.name().size() > options_.most_name) return;
  if (record.name() == self().name()) return OnOwnName(claim, now);
  const int at = members_.Find(record.name());
  // A life that was taken for over may have lost its name to an older one only for a while: where both
  // restart at once, the news of the process before may come later than that of the present one. It alone can
  // claim a later incarnation; what merely comes late cannot.
  if (retired_.contains(record.life()) &&
      (at == Members::kNone || !Before(record.incarnation(), record.life(),
                                       members_[at].record->incarnation(), members_[at].record->life()))) {
    ++counters_.replays;
    return;
  }
  const std::string& by = claim.by().empty() ? from : claim.by();
  switch (claim.status()) {
    case wire::STATUS_ALIVE:
      return MergeAlive(claim, at, now);
    case wire::STATUS_SUSPECT: {
      if (at == Members::kNone || !members_[at].living() || by == record.name()) return;
      const Record& known = *members_[at].record;
      if (record.life() != known.life() || Later(known.incarnation(), record.incarnation())) return;
      if (Later(record.incarnation(), known.incarnation()))
        Revive(at, WithIncarnation(known, record.incarnation()), now);
      return Accuse(at, by, now - milliseconds(claim.age_ms()), now);
    }
    case wire::STATUS_DEAD:
    case wire::STATUS_LEFT:
      return MergeGone(claim, by, whole, at, now);
    default:
      return;  // of a later version
  }
}

void View::MergeAlive(const wire::Claim& claim, int at, Time now) {
  const Record& record = claim.record();
  if (!Fits(record) || record.address().empty()) return;
  if (at == Members::kNone) {
    if (members_.size() >= options_.most_members) return;
    at = members_.Add(std::make_shared<Record>(record), Status::kAlive, now);
    changed_ = now;
    agreed_ = 0;
    Tell(Happened::Kind::kJoined, record.name());
    return news_.Tell(ClaimOf(at, now), now);
  }
  const Entry& entry = members_[at];
  const Record& known = *entry.record;
  if (Before(record.incarnation(), record.life(), known.incarnation(), known.life()))
    return Revive(at, std::make_shared<Record>(record), now);
  if (record.life() != known.life() || record.incarnation() != known.incarnation() || !entry.living()) return;
  if (!Later(record.version(), known.version())) return;
  members_.Set(at, std::make_shared<Record>(record), entry.status, now);
  changed_ = now;
  agreed_ = 0;
  wire::Claim news;
  *news.mutable_record() = record;
  if (entry.status == Status::kAlive) news_.Tell(std::move(news), now);
}

// A claim that goes before what was known: it is alive.
void View::Revive(int at, std::shared_ptr<const Record> record, Time now) {
  const Entry& entry = members_[at];
  const bool same = entry.record->life() == record->life();
  const Status was = entry.status;
  const bool whole = !record->address().empty();
  if (!entry.living() && !whole) return;
  if (!same) {
    retired_.erase(record->life());
    Retire(entry.record->life());
  }
  suspicions_.End(at);
  members_.Set(at, std::move(record), Status::kAlive, now);
  changed_ = now;
  agreed_ = 0;
  const std::string& name = members_[at].record->name();
  if (!same || was == Status::kLeft) {
    Tell(Happened::Kind::kJoined, name);
  } else if (was == Status::kSuspect) {
    Tell(Happened::Kind::kRefuted, name);
  } else if (was == Status::kDead) {
    Tell(Happened::Kind::kHealed, name);
  }
  news_.Tell(ClaimOf(at, now), now);
}

void View::MergeGone(const wire::Claim& claim, const std::string& by, bool whole, int at, Time now) {
  const Record& record = claim.record();
  const Time age = milliseconds(claim.age_ms());
  const Status status = claim.status() == wire::STATUS_LEFT ? Status::kLeft : Status::kDead;
  if (age > options_.tombstone) return;
  if (at == Members::kNone) {
    if (members_.size() < options_.most_members)
      members_.Mutable(members_.Add(Bare(record), status, now)).since = now - age;
    return;
  }
  Entry& entry = members_.Mutable(at);
  const bool newer =
      Before(record.incarnation(), record.life(), entry.record->incarnation(), entry.record->life());
  const bool same =
      record.incarnation() == entry.record->incarnation() && record.life() == entry.record->life();
  if (!newer && !same) return;
  if (!entry.living()) {
    if (newer || status == Status::kLeft) members_.Set(at, Bare(record), status, now);
    return;
  }
  // An old death, and one of somebody who spoke just now, is a suspicion: whoever lives gets to answer it. So
  // halves of a fleet that meet again don't bury each other by what each thought of the other.
  const bool fresh = !whole && age < 2 * options_.silence && now - entry.heard >= options_.silence / 2;
  if (status == Status::kLeft || fresh || record.life() != entry.record->life())
    return Bury(at, status, by, claim.age_ms(), now);
  if (newer) Revive(at, WithIncarnation(*entry.record, record.incarnation()), now);
  Accuse(at, by, now, now);
  if (Suspicion* suspicion = suspicions_.Find(at)) Suspicions::MakeJudge(*suspicion, now);
}

void View::OnOwnName(const wire::Claim& claim, Time now) {
  const Record& record = claim.record();
  if (record.life() == life_) {
    const bool untrue =
        claim.status() != wire::STATUS_ALIVE || Later(record.incarnation(), self().incarnation());
    if (untrue && !Later(self().incarnation(), record.incarnation())) Refute(record.incarnation(), now);
    return;
  }
  if (!Before(record.incarnation(), record.life(), self().incarnation(), life_)) return;
  const bool gone = claim.status() == wire::STATUS_DEAD || claim.status() == wire::STATUS_LEFT;
  if (gone || !established_) return Refute(record.incarnation(), now);
  if (rival_until_ > Time{}) return;
  rival_until_ = now + kRivalAnswers;
  rival_incarnation_ = record.incarnation();
  Send(Begin(wire::KIND_PING), record.address(), Members::kNone, now);
}

void View::Accuse(int at, const std::string& by, Time since, Time now) {
  if (at == me_) return;
  const Entry& entry = members_[at];
  Suspicion* suspicion = suspicions_.Find(at);
  if (!suspicion) {
    members_.Set(at, entry.record, Status::kSuspect, now);
    suspicion = &suspicions_.Begin(at, entry.record->incarnation(), since);
    if (by == self().name() || IsWitness(at)) Suspicions::MakeJudge(*suspicion, now);
    Tell(Happened::Kind::kSuspected, entry.record->name(), by);
  }
  suspicion->since = std::min(suspicion->since, since);
  const int number = Suspicions::Accuse(*suspicion, by);
  if (number < 0) return;
  wire::Claim claim = ClaimOf(at, now);
  claim.set_by(by);
  claim.set_age_ms(Millis(now - suspicion->since));
  news_.Tell(std::move(claim), now, number == 0 ? News::kClaim : News::kAccuser + number);
  if (number == 0 && now - entry.heard < options_.silence) news_.Tell(HeardOf(at, entry.heard, now), now);
}

wire::Heard View::HeardOf(int at, Time when, Time now) const {
  const Record& record = *members_[at].record;
  wire::Heard heard;
  heard.set_name(record.name());
  heard.set_incarnation(record.incarnation());
  heard.set_age_ms(Millis(now - when));
  return heard;
}

void View::Heard(int at, Time when, Time now) {
  Entry& entry = members_.Mutable(at);
  if (when <= entry.heard) return;
  const bool tell = entry.status == Status::kSuspect && when - entry.heard >= kTelling;
  entry.heard = when;
  if (tell) news_.Tell(HeardOf(at, when, now), now);
}

void View::Bury(int at, Status status, const std::string& by, std::uint32_t age_ms, Time now) {
  const std::string name = members_[at].record->name();
  const Time heard = members_[at].heard;
  suspicions_.End(at);
  members_.Set(at, Bare(*members_[at].record), status, now);
  members_.Mutable(at).since = now - milliseconds(age_ms);
  changed_ = now;
  agreed_ = 0;
  Tell(status == Status::kLeft ? Happened::Kind::kLeft : Happened::Kind::kDead, name, by, now - heard);
  wire::Claim claim = ClaimOf(at, now);
  claim.set_by(by);
  news_.Tell(std::move(claim), now);
}

// Picked by a hash of both names, so that every member picks the same without a word.
bool View::IsWitness(int at) const {
  const std::string& suspect = members_[at].record->name();
  const std::uint64_t seed = XXH64(suspect.data(), suspect.size(), 3);
  const auto rank = [&](const std::string& name) { return XXH64(name.data(), name.size(), seed); };
  const std::uint64_t mine = rank(self().name());
  int before = 0;
  for (const int other : members_.living()) {
    if (other != at && members_[other].status == Status::kAlive &&
        rank(members_[other].record->name()) > mine && ++before >= options_.witnesses)
      return false;
  }
  return true;
}

void View::Retire(std::uint64_t life) {
  if (!retired_.insert(life).second) return;
  retired_order_.push_back(life);
  if (retired_order_.size() <= kMostRetired) return;
  retired_.erase(retired_order_.front());
  retired_order_.pop_front();
}

}  // namespace copperpoint::membership
