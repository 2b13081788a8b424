// SPDX-License-Identifier: Apache-2.0
#include "membership/member_table.h"

#include <xxhash.h>

#include <utility>

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
  return "unknown";  // a state that only a later version of the program knows
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

namespace {

// The seeds of the hashes that members compare. They must be the same in every version of the program.
constexpr std::uint64_t kRecordSeed = 1, kBucketSeed = 2;
// The seed of the hash by which this table finds names, which does not leave the process.
constexpr std::uint64_t kNameSeed = 4;

std::uint64_t NameHash(std::string_view name) { return XXH64(name.data(), name.size(), kNameSeed); }

std::uint64_t RecordHash(const Record& record) {
  const std::uint64_t numbers[] = {record.incarnation(), record.refutation_number(), record.version()};
  return XXH64(numbers, sizeof numbers, XXH64(record.name().data(), record.name().size(), kRecordSeed));
}

}  // namespace

std::size_t MemberTable::BucketOf(std::string_view name) {
  return XXH64(name.data(), name.size(), kBucketSeed) % kBuckets;
}

std::shared_ptr<const Record> RecordPool::Share(std::shared_ptr<const Record> record) {
  if (records_.size() >= sweep_at_) {
    std::erase_if(records_, [](const auto& entry) { return entry.second.expired(); });
    sweep_at_ = 2 * records_.size() + kMinSweep;
  }
  std::weak_ptr<const Record>& shared = records_[{record->incarnation(), record->refutation_number(),
                                                  record->version(), record->ByteSizeLong()}];
  if (auto same = shared.lock()) return same;
  shared = record;
  return record;
}

int MemberTable::Find(std::string_view name) const {
  const auto found = by_hash_.find(NameHash(name));
  if (found == by_hash_.end()) return kNotFound;
  if (members_[static_cast<std::size_t>(found->second)].record->name() == name) return found->second;
  const auto by_name = by_name_.find(name);
  return by_name == by_name_.end() ? kNotFound : by_name->second;
}

void MemberTable::Reserve(std::size_t members) {
  members_.reserve(members);
  living_.reserve(members);
  by_hash_.reserve(members);
}

void MemberTable::ToggleHash(const Member& member) {
  if (!member.living()) return;
  const std::uint64_t hash = RecordHash(*member.record);
  hash_ ^= hash;
  buckets_[BucketOf(member.record->name())] ^= hash;
}

int MemberTable::Add(std::shared_ptr<const Record> record, MemberStatus status, Time now) {
  int index;
  if (free_.empty()) {
    index = static_cast<int>(members_.size());
    members_.emplace_back();
  } else {
    index = free_.back();
    free_.pop_back();
  }
  const std::string& name = record->name();
  if (!by_hash_.emplace(NameHash(name), index).second) by_name_[name] = index;
  ++size_;
  if (pool_) record = pool_->Share(std::move(record));
  Member& member = Mutable(index);
  member = Member{std::move(record), status, now, now};
  if (member.living()) {
    member.living_index = living_.size();
    living_.push_back(index);
  }
  ToggleHash(member);
  return index;
}

void MemberTable::Set(int index, std::shared_ptr<const Record> record, MemberStatus status, Time now) {
  Member& member = Mutable(index);
  ToggleHash(member);
  const bool was_living = member.living();
  if (member.record->incarnation() != record->incarnation()) member.sequences = SequenceWindow();
  if (member.status != status) member.status_since = now;
  member.record = pool_ ? pool_->Share(std::move(record)) : std::move(record);
  member.status = status;
  if (was_living && !member.living()) {
    Mutable(living_.back()).living_index = member.living_index;
    living_[member.living_index] = living_.back();
    living_.pop_back();
  } else if (!was_living && member.living()) {
    member.living_index = living_.size();
    living_.push_back(index);
    member.last_contact = now;
  }
  ToggleHash(member);
}

void MemberTable::Remove(int index) {
  const auto record = (*this)[index].record;
  Set(index, record, MemberStatus::kDead, Time{});
  RemoveName(index, record->name());
  --size_;
  Mutable(index).record.reset();
  free_.push_back(index);
}

void MemberTable::RemoveName(int index, const std::string& name) {
  const auto found = by_hash_.find(NameHash(name));
  if (found->second != index) {
    by_name_.erase(name);
    return;
  }
  by_hash_.erase(found);
  // Another name with the same hash, which only by_name_ has, moves to the free place in by_hash_.
  for (auto other = by_name_.begin(); other != by_name_.end(); ++other) {
    if (NameHash(other->first) != NameHash(name)) continue;
    by_hash_.emplace(NameHash(other->first), other->second);
    by_name_.erase(other);
    return;
  }
}

std::shared_ptr<const Record> TombstoneOf(const Record& record) {
  auto tombstone = std::make_shared<Record>();
  tombstone->set_name(record.name());
  tombstone->set_incarnation(record.incarnation());
  tombstone->set_refutation_number(record.refutation_number());
  tombstone->set_address(record.address());
  return tombstone;
}

std::shared_ptr<const Record> WithRefutationNumber(const Record& record, std::uint32_t refutation_number) {
  auto next = std::make_shared<Record>(record);
  next->set_refutation_number(refutation_number);
  return next;
}

}  // namespace copperpoint::membership
