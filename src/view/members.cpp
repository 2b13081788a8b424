// SPDX-License-Identifier: Apache-2.0
#include "view/members.h"

#include <xxhash.h>

namespace copperpoint::view {

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

std::uint64_t HashOf(const Record& record) {
  const std::uint64_t numbers[] = {record.life(), record.incarnation(), record.version()};
  return XXH64(numbers, sizeof numbers, XXH64(record.name().data(), record.name().size(), 1));
}

}  // namespace

std::size_t Members::BucketOf(std::string_view name) { return XXH64(name.data(), name.size(), 2) % kBuckets; }

int Members::Find(std::string_view name) const {
  const auto found = by_name_.find(std::string(name));
  return found == by_name_.end() ? kNone : found->second;
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
  by_name_[record->name()] = at;
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
  entry.record = std::move(record);
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
  by_name_.erase(record->name());
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

}  // namespace copperpoint::view
