// SPDX-License-Identifier: Apache-2.0
#include "membership/member_table.h"

#include <xxhash.h>

namespace copperpoint::membership {

const char* NameOf(MemberState state) {
  switch (state) {
    case MemberState::kStarting:
      return "starting";
    case MemberState::kServing:
      return "serving";
    case MemberState::kDraining:
      return "draining";
    case MemberState::kLeaving:
      return "leaving";
  }
  return "unknown";  // of a later version
}

const char* NameOf(MemberStatus status) {
  switch (status) {
    case MemberStatus::kAlive:
      return "alive";
    case MemberStatus::kSuspect:
      return "suspect";
    case MemberStatus::kDead:
      return "dead";
    case MemberStatus::kLeft:
      return "left";
  }
  return "unknown";
}

bool Supersedes(std::uint32_t refutations_a, std::uint64_t incarnation_a, std::uint32_t refutations_b,
                std::uint64_t incarnation_b) {
  if (refutations_a != refutations_b) return IsLater(refutations_a, refutations_b);
  return incarnation_a > incarnation_b;
}

namespace {

std::uint64_t PlaceOf(std::string_view name) { return XXH64(name.data(), name.size(), 4); }

std::uint64_t HashOf(const Record& record) {
  const std::uint64_t numbers[] = {record.incarnation(), record.refutation_number(), record.version()};
  return XXH64(numbers, sizeof numbers, XXH64(record.name().data(), record.name().size(), 1));
}

}  // namespace

std::size_t MemberTable::BucketOf(std::string_view name) {
  return XXH64(name.data(), name.size(), 2) % kBuckets;
}

std::shared_ptr<const Record> RecordPool::Share(std::shared_ptr<const Record> record) {
  if (records_.size() >= sweep_at_) {
    std::erase_if(records_, [](const auto& entry) { return entry.second.expired(); });
    sweep_at_ = 2 * records_.size() + 1024;
  }
  std::weak_ptr<const Record>& kept = records_[{record->incarnation(), record->refutation_number(),
                                                record->version(), record->ByteSizeLong()}];
  if (auto same = kept.lock()) return same;
  kept = record;
  return record;
}

int MemberTable::Find(std::string_view name) const {
  const auto found = by_hash_.find(PlaceOf(name));
  if (found == by_hash_.end()) return kNotFound;
  if (entries_[static_cast<std::size_t>(found->second)].record->name() == name) return found->second;
  const auto by_name = by_name_.find(name);
  return by_name == by_name_.end() ? kNotFound : by_name->second;
}

void MemberTable::Reserve(std::size_t members) {
  entries_.reserve(members);
  living_.reserve(members);
  by_hash_.reserve(members);
}

void MemberTable::Count(const Member& entry) {
  if (!entry.living()) return;
  const std::uint64_t hash = HashOf(*entry.record);
  hash_ ^= hash;
  buckets_[BucketOf(entry.record->name())] ^= hash;
}

int MemberTable::Add(std::shared_ptr<const Record> record, MemberStatus status, Time now) {
  int at;
  if (free_.empty()) {
    at = static_cast<int>(entries_.size());
    entries_.emplace_back();
  } else {
    at = free_.back();
    free_.pop_back();
  }
  const std::string& name = record->name();
  if (!by_hash_.emplace(PlaceOf(name), at).second) by_name_[name] = at;
  ++size_;
  if (shared_) record = shared_->Share(std::move(record));
  Member& entry = Mutable(at);
  entry = Member{std::move(record), status, now, now};
  if (entry.living()) {
    entry.living_index = living_.size();
    living_.push_back(at);
  }
  Count(entry);
  return at;
}

void MemberTable::Set(int at, std::shared_ptr<const Record> record, MemberStatus status, Time now) {
  Member& entry = Mutable(at);
  Count(entry);
  const bool was = entry.living();
  if (entry.record->incarnation() != record->incarnation()) entry.last_sequence = 0, entry.seen_sequences = 0;
  if (entry.status != status) entry.status_since = now;
  entry.record = shared_ ? shared_->Share(std::move(record)) : std::move(record);
  entry.status = status;
  if (was && !entry.living()) {
    Mutable(living_.back()).living_index = entry.living_index;
    living_[entry.living_index] = living_.back();
    living_.pop_back();
  } else if (!was && entry.living()) {
    entry.living_index = living_.size();
    living_.push_back(at);
    entry.last_contact = now;
  }
  Count(entry);
}

void MemberTable::Remove(int at) {
  const auto record = (*this)[at].record;
  Set(at, record, MemberStatus::kDead, Time{});
  const auto found = by_hash_.find(PlaceOf(record->name()));
  if (found->second == at) {
    by_hash_.erase(found);
    // Another of the same hash may stand by its name alone: it has the place now.
    for (auto other = by_name_.begin(); other != by_name_.end(); ++other) {
      if (PlaceOf(other->first) != PlaceOf(record->name())) continue;
      by_hash_.emplace(PlaceOf(other->first), other->second);
      by_name_.erase(other);
      break;
    }
  } else {
    by_name_.erase(record->name());
  }
  --size_;
  Mutable(at).record.reset();
  free_.push_back(at);
}

std::shared_ptr<const Record> Bare(const Record& record) {
  auto bare = std::make_shared<Record>();
  bare->set_name(record.name());
  bare->set_incarnation(record.incarnation());
  bare->set_refutation_number(record.refutation_number());
  bare->set_address(record.address());
  return bare;
}

std::shared_ptr<const Record> WithRefutationNumber(const Record& record, std::uint32_t refutation_number) {
  auto next = std::make_shared<Record>(record);
  next->set_refutation_number(refutation_number);
  return next;
}

}  // namespace copperpoint::membership
