// SPDX-License-Identifier: Apache-2.0
#include "membership/member_table.h"

#include <xxhash.h>

namespace copperpoint::membership {

const char* NameOf(State state) {
  switch (state) {
    case State::kStarting:
      return "starting";
    case State::kServing:
      return "serving";
    case State::kDraining:
      return "draining";
    case State::kLeaving:
      return "leaving";
  }
  return "unknown";  // of a later version
}

const char* NameOf(Status status) {
  switch (status) {
    case Status::kAlive:
      return "alive";
    case Status::kSuspect:
      return "suspect";
    case Status::kDead:
      return "dead";
    case Status::kLeft:
      return "left";
  }
  return "unknown";
}

bool Before(std::uint32_t incarnation_a, std::uint64_t life_a, std::uint32_t incarnation_b,
            std::uint64_t life_b) {
  if (incarnation_a != incarnation_b) return Later(incarnation_a, incarnation_b);
  return life_a > life_b;
}

namespace {

std::uint64_t PlaceOf(std::string_view name) { return XXH64(name.data(), name.size(), 4); }

std::uint64_t HashOf(const Record& record) {
  const std::uint64_t numbers[] = {record.life(), record.incarnation(), record.version()};
  return XXH64(numbers, sizeof numbers, XXH64(record.name().data(), record.name().size(), 1));
}

}  // namespace

std::size_t Members::BucketOf(std::string_view name) { return XXH64(name.data(), name.size(), 2) % kBuckets; }

std::shared_ptr<const Record> Records::Share(std::shared_ptr<const Record> record) {
  if (records_.size() >= sweep_at_) {
    std::erase_if(records_, [](const auto& entry) { return entry.second.expired(); });
    sweep_at_ = 2 * records_.size() + 1024;
  }
  std::weak_ptr<const Record>& kept =
      records_[{record->life(), record->incarnation(), record->version(), record->ByteSizeLong()}];
  if (auto same = kept.lock()) return same;
  kept = record;
  return record;
}

int Members::Find(std::string_view name) const {
  const auto found = by_hash_.find(PlaceOf(name));
  if (found == by_hash_.end()) return kNone;
  if (entries_[static_cast<std::size_t>(found->second)].record->name() == name) return found->second;
  const auto by_name = by_name_.find(name);
  return by_name == by_name_.end() ? kNone : by_name->second;
}

void Members::Reserve(std::size_t members) {
  entries_.reserve(members);
  living_.reserve(members);
  by_hash_.reserve(members);
}

void Members::Count(const Entry& entry) {
  if (!entry.living()) return;
  const std::uint64_t hash = HashOf(*entry.record);
  hash_ ^= hash;
  buckets_[BucketOf(entry.record->name())] ^= hash;
}

int Members::Add(std::shared_ptr<const Record> record, Status status, Time now) {
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
  Entry& entry = Mutable(at);
  entry = Entry{std::move(record), status, now, now};
  if (entry.living()) {
    entry.place = living_.size();
    living_.push_back(at);
  }
  Count(entry);
  return at;
}

void Members::Set(int at, std::shared_ptr<const Record> record, Status status, Time now) {
  Entry& entry = Mutable(at);
  Count(entry);
  const bool was = entry.living();
  if (entry.record->life() != record->life()) entry.last_sequence = 0, entry.seen = 0;
  if (entry.status != status) entry.since = now;
  entry.record = shared_ ? shared_->Share(std::move(record)) : std::move(record);
  entry.status = status;
  if (was && !entry.living()) {
    Mutable(living_.back()).place = entry.place;
    living_[entry.place] = living_.back();
    living_.pop_back();
  } else if (!was && entry.living()) {
    entry.place = living_.size();
    living_.push_back(at);
    entry.heard = now;
  }
  Count(entry);
}

void Members::Remove(int at) {
  const auto record = (*this)[at].record;
  Set(at, record, Status::kDead, Time{});
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
  bare->set_life(record.life());
  bare->set_incarnation(record.incarnation());
  bare->set_address(record.address());
  return bare;
}

std::shared_ptr<const Record> WithIncarnation(const Record& record, std::uint32_t incarnation) {
  auto next = std::make_shared<Record>(record);
  next->set_incarnation(incarnation);
  return next;
}

}  // namespace copperpoint::membership
