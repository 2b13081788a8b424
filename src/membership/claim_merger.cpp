// SPDX-License-Identifier: Apache-2.0
#include "membership/claim_merger.h"

#include <memory>

namespace copperpoint::membership {
namespace {

constexpr int kMaxRecentTimeouts = 2;  // the contact_timeouts after which a death no longer counts as recent

bool IsSameProcess(const Record& a, const Record& b) { return a.incarnation() == b.incarnation(); }

}  // namespace

ClaimMerger::ClaimMerger(const Options& options, const MemberTable& members, const EndedIncarnations& ended,
                         const LocalMember& local, MemberLifecycle& lifecycle, NameConflict& name_conflict,
                         Counters& counters)
    : options_(options),
      members_(members),
      ended_(ended),
      local_(local),
      lifecycle_(lifecycle),
      name_conflict_(name_conflict),
      counters_(counters) {}

void ClaimMerger::MergeAll(const wire::Message& message, Source source, Time now) {
  for (const wire::Claim& claim : message.claims()) Merge(claim, message.from(), source, now);
  for (const wire::LastContact& contact : message.last_contacts()) {
    const int index = members_.Find(contact.name());
    if (index == MemberTable::kNotFound || index == local_.index()) continue;
    const Member& member = members_[index];
    if (member.living() && !IsLater(member.record->refutation_number(), contact.refutation_number()))
      lifecycle_.RecordContact(index, now - milliseconds(contact.age_ms()), now);
  }
}

void ClaimMerger::Merge(const wire::Claim& claim, const std::string& from, Source source, Time now) {
  const Record& record = claim.record();
  if (record.name().empty() || record.name().size() > options_.max_name_bytes) return;
  if (record.name() == local_.name()) return name_conflict_.OnClaim(claim, now);
  const int index = members_.Find(record.name());
  if (IsOfEndedProcess(record, index)) {
    ++counters_.replays;
    return;
  }
  const std::string& reported_by = claim.reported_by().empty() ? from : claim.reported_by();
  switch (claim.status()) {
    case wire::STATUS_ALIVE:
      return MergeAlive(record, index, now);
    case wire::STATUS_SUSPECT:
      return MergeSuspect(claim, reported_by, index, now);
    case wire::STATUS_DEAD:
    case wire::STATUS_LEFT:
      return MergeEnded(claim, reported_by, source, index, now);
    default:
      return;  // a status that only a later version of the program knows
  }
}

// A process may have lost its name to an older process for only a while: when two members restart at once, a
// claim on the previous process may arrive after one on the present process. Only a running process can claim
// a later refutation number; a late claim cannot.
bool ClaimMerger::IsOfEndedProcess(const Record& record, int index) const {
  if (!ended_.Contains(record.incarnation())) return false;
  return index == MemberTable::kNotFound || !Supersedes(record, *members_[index].record);
}

void ClaimMerger::MergeAlive(const Record& record, int index, Time now) {
  if (!IsWithinLimits(record, options_) || record.address().empty()) return;
  if (index == MemberTable::kNotFound) return lifecycle_.AddAlive(record, now);
  const Member& member = members_[index];
  const Record& known = *member.record;
  if (Supersedes(record, known)) return lifecycle_.Revive(index, std::make_shared<Record>(record), now);
  if (!IsSameProcess(record, known) || record.refutation_number() != known.refutation_number()) return;
  if (member.living() && IsLater(record.version(), known.version()))
    lifecycle_.UpdateRecord(index, record, now);
}

void ClaimMerger::MergeSuspect(const wire::Claim& claim, const std::string& accuser, int index, Time now) {
  const Record& record = claim.record();
  if (index == MemberTable::kNotFound || !members_[index].living() || accuser == record.name()) return;
  const Record& known = *members_[index].record;
  if (!IsSameProcess(record, known) || IsLater(known.refutation_number(), record.refutation_number())) return;
  if (IsLater(record.refutation_number(), known.refutation_number()))
    lifecycle_.Revive(index, WithRefutationNumber(known, record.refutation_number()), now);
  lifecycle_.Suspect(index, accuser, now - milliseconds(claim.age_ms()), now);
}

void ClaimMerger::MergeEnded(const wire::Claim& claim, const std::string& reported_by, Source source,
                             int index, Time now) {
  const Record& record = claim.record();
  const Time age = milliseconds(claim.age_ms());
  const MemberStatus status = claim.status() == wire::STATUS_LEFT ? MemberStatus::kLeft : MemberStatus::kDead;
  if (age > options_.tombstone_lifetime) return;
  if (index == MemberTable::kNotFound) return lifecycle_.AddTombstone(record, status, now - age, now);
  const Member& member = members_[index];
  const bool newer = Supersedes(record, *member.record);
  const bool same = record.refutation_number() == member.record->refutation_number() &&
                    IsSameProcess(record, *member.record);
  if (!newer && !same) return;
  if (!member.living()) {
    if (newer || status == MemberStatus::kLeft) lifecycle_.ReplaceTombstone(index, record, status, now);
    return;
  }
  // An old death, and the death of a member with recent contact, only starts a suspicion, which a living
  // member can refute. Otherwise halves of a partitioned fleet that reconnect would declare each other dead
  // by old claims.
  const bool recent = source == Source::kGossip && age < kMaxRecentTimeouts * options_.contact_timeout &&
                      now - member.last_contact >= options_.contact_timeout / 2;
  if (status == MemberStatus::kLeft || recent || !IsSameProcess(record, *member.record))
    return lifecycle_.MarkEnded(index, status, reported_by, claim.age_ms(), now);
  if (newer) lifecycle_.Revive(index, WithRefutationNumber(*member.record, record.refutation_number()), now);
  lifecycle_.Suspect(index, reported_by, now, now);
  lifecycle_.BecomeConfirmer(index, now);
}

}  // namespace copperpoint::membership
