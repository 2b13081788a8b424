// SPDX-License-Identifier: Apache-2.0
#include "membership/member_lifecycle.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace copperpoint::membership {
namespace {

// Of contacts with a suspect that are closer together, only the first is reported.
constexpr Time kMinContactInterval = milliseconds(100);
// The seed of the hash that selects confirmers. It must be the same in every version of the program.
constexpr std::uint64_t kConfirmerSeed = 3;

std::uint64_t HashOf(const std::string& name, std::uint64_t seed) {
  return XXH64(name.data(), name.size(), seed);
}

}  // namespace

MemberLifecycle::MemberLifecycle(const Options& options, MemberTable& members, SuspicionTable& suspicions,
                                 GossipQueue& queue, ConvergenceTracker& convergence,
                                 EndedIncarnations& ended, const ClaimBuilder& claims,
                                 const LocalMember& local, std::vector<Event>& events)
    : options_(options),
      members_(members),
      suspicions_(suspicions),
      queue_(queue),
      convergence_(convergence),
      ended_(ended),
      claims_(claims),
      local_(local),
      events_(events) {}

void MemberLifecycle::AddAlive(const Record& record, Time now) {
  if (members_.size() >= options_.max_members) return;
  const int index = members_.Add(std::make_shared<Record>(record), MemberStatus::kAlive, now);
  convergence_.OnTableChanged(now);
  Report(Event::Kind::kJoined, record.name());
  queue_.Add(claims_.ClaimOn(index, now), now);
}

void MemberLifecycle::AddTombstone(const Record& record, MemberStatus status, Time since, Time now) {
  if (members_.size() >= options_.max_members) return;
  const int index = members_.Add(TombstoneOf(record), status, now);
  members_.Mutable(index).status_since = since;
}

void MemberLifecycle::ReplaceTombstone(int index, const Record& record, MemberStatus status, Time now) {
  members_.Set(index, TombstoneOf(record), status, now);
}

void MemberLifecycle::UpdateRecord(int index, const Record& record, Time now) {
  const MemberStatus status = members_[index].status;
  members_.Set(index, std::make_shared<Record>(record), status, now);
  convergence_.OnTableChanged(now);
  if (status == MemberStatus::kAlive) queue_.Add(claims_.ClaimOn(index, now), now);
}

void MemberLifecycle::Revive(int index, std::shared_ptr<const Record> record, Time now) {
  const Member& member = members_[index];
  const bool same_process = member.record->incarnation() == record->incarnation();
  const MemberStatus before = member.status;
  if (!member.living() && record->address().empty()) return;
  if (!same_process) {
    ended_.Remove(record->incarnation());
    ended_.Add(member.record->incarnation());
  }
  suspicions_.End(index);
  members_.Set(index, std::move(record), MemberStatus::kAlive, now);
  convergence_.OnTableChanged(now);
  const std::string& name = members_[index].record->name();
  if (!same_process || before == MemberStatus::kLeft) {
    Report(Event::Kind::kJoined, name);
  } else if (before == MemberStatus::kSuspect) {
    Report(Event::Kind::kRefuted, name);
  } else if (before == MemberStatus::kDead) {
    Report(Event::Kind::kHealed, name);
  }
  queue_.Add(claims_.ClaimOn(index, now), now);
}

void MemberLifecycle::Suspect(int index, const std::string& accuser, Time since, Time now) {
  if (index == local_.index()) return;
  const Member& member = members_[index];
  Suspicion* suspicion = suspicions_.Find(index);
  if (!suspicion) {
    members_.Set(index, member.record, MemberStatus::kSuspect, now);
    suspicion = &suspicions_.Start(index, member.record->refutation_number(), since);
    if (accuser == local_.name() || IsConfirmer(index)) SuspicionTable::MakeConfirmer(*suspicion, now);
    Report(Event::Kind::kSuspected, member.record->name(), accuser);
  }
  suspicion->since = std::min(suspicion->since, since);
  const int number = SuspicionTable::AddAccuser(*suspicion, accuser);
  if (number < 0) return;
  wire::Claim claim = claims_.ClaimOn(index, now);
  claim.set_reported_by(accuser);
  claim.set_age_ms(AgeMs(now - suspicion->since));
  queue_.Add(std::move(claim), now, number == 0 ? GossipQueue::kClaim : GossipQueue::kAccuser + number);
  if (number == 0 && now - member.last_contact < options_.contact_timeout)
    queue_.Add(claims_.LastContactOf(index, member.last_contact, now), now);
}

void MemberLifecycle::BecomeConfirmer(int index, Time now) {
  if (Suspicion* suspicion = suspicions_.Find(index)) SuspicionTable::MakeConfirmer(*suspicion, now);
}

void MemberLifecycle::MarkEnded(int index, MemberStatus status, const std::string& reported_by,
                                std::uint32_t age_ms, Time now) {
  const std::string name = members_[index].record->name();
  const Time last_contact = members_[index].last_contact;
  suspicions_.End(index);
  members_.Set(index, TombstoneOf(*members_[index].record), status, now);
  members_.Mutable(index).status_since = now - milliseconds(age_ms);
  convergence_.OnTableChanged(now);
  const bool left = status == MemberStatus::kLeft;
  Report(left ? Event::Kind::kLeft : Event::Kind::kDead, name, reported_by, now - last_contact);
  wire::Claim claim = claims_.ClaimOn(index, now);
  claim.set_reported_by(reported_by);
  queue_.Add(std::move(claim), now);
}

void MemberLifecycle::RecordContact(int index, Time contact, Time now) {
  Member& member = members_.Mutable(index);
  if (contact <= member.last_contact) return;
  const bool report =
      member.status == MemberStatus::kSuspect && contact - member.last_contact >= kMinContactInterval;
  member.last_contact = contact;
  if (report) queue_.Add(claims_.LastContactOf(index, contact, now), now);
}

void MemberLifecycle::RemoveExpired(Time now) {
  std::vector<int> expired;
  members_.ForEach([&](int index, const Member& member) {
    if (!member.living() && now - member.status_since > options_.tombstone_lifetime) expired.push_back(index);
  });
  for (const int index : expired) {
    // A process that left does not return, while one that was cut off for a long time may.
    if (members_[index].status == MemberStatus::kLeft) ended_.Add(members_[index].record->incarnation());
    members_.Remove(index);
  }
}

bool MemberLifecycle::IsConfirmer(int index) const {
  const std::uint64_t seed = HashOf(members_[index].record->name(), kConfirmerSeed);
  const std::uint64_t own_rank = HashOf(local_.name(), seed);
  int greater = 0;
  for (const int other : members_.living()) {
    if (other == index || members_[other].status != MemberStatus::kAlive) continue;
    if (HashOf(members_[other].record->name(), seed) > own_rank && ++greater >= options_.confirmers)
      return false;
  }
  return true;
}

void MemberLifecycle::Report(Event::Kind kind, const std::string& name, const std::string& reported_by,
                             Time time_since_contact) {
  events_.push_back({kind, name, reported_by, time_since_contact});
}

}  // namespace copperpoint::membership
