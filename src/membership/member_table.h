// SPDX-License-Identifier: Apache-2.0
//
// Who is in the fleet, as one member knows it: a table of claims that merges in any order. Which of two
// claims holds is said here alone:
//   1. the later incarnation, in serial arithmetic, so that it has no end;
//   2. of one incarnation in two lives, the greater life;
//   3. of one life, dead or left before suspect before alive, and of records the later version.
#ifndef COPPERPOINT_MEMBERSHIP_MEMBER_TABLE_H_
#define COPPERPOINT_MEMBERSHIP_MEMBER_TABLE_H_

#include <array>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "membership/options.h"
#include "message.pb.h"

namespace copperpoint::membership {

enum class State { kStarting = 0, kServing = 1, kDraining = 2, kLeaving = 3 };
enum class Status { kAlive = 0, kSuspect = 1, kDead = 2, kLeft = 3 };
const char* NameOf(State state);
const char* NameOf(Status status);

// RFC 1982: a is later than b.
inline bool Later(std::uint32_t a, std::uint32_t b) { return static_cast<std::int32_t>(a - b) > 0; }
// Rules 1 and 2: whether one claim to a name goes before another.
bool Before(std::uint32_t incarnation_a, std::uint64_t life_a, std::uint32_t incarnation_b,
            std::uint64_t life_b);

using Record = wire::Record;

struct Entry {
  std::shared_ptr<const Record> record;  // null: the place is free. Of those gone: bare
  Status status = Status::kAlive;
  Time since{};                     // of the status
  Time heard{};                     // the latest sign of life, of this member's own or told by others
  std::uint32_t last_sequence = 0;  // of messages straight from it, and which of the 64 before were seen
  std::uint64_t seen = 0;
  std::size_t place = 0;  // among the living

  bool living() const { return status <= Status::kSuspect; }
};

// For many views in one process, as in virtual time: records that are equal are kept once. One thread's.
class Records {
 public:
  std::shared_ptr<const Record> Share(std::shared_ptr<const Record> record);

 private:
  // Its owner alone writes a record, so these say all of it; the size tells a bare one from a whole.
  using Key = std::tuple<std::uint64_t, std::uint32_t, std::uint32_t, std::size_t>;
  std::map<Key, std::weak_ptr<const Record>> records_;
  std::size_t sweep_at_ = 1024;
};

class Members {
 public:
  explicit Members(Records* shared = nullptr) : shared_(shared) {}

  static constexpr std::size_t kBuckets = 64;
  static constexpr int kNone = -1;

  int Find(std::string_view name) const;
  const Entry& operator[](int at) const { return entries_[static_cast<std::size_t>(at)]; }
  Entry& Mutable(int at) { return entries_[static_cast<std::size_t>(at)]; }
  std::size_t size() const { return size_; }
  void Reserve(std::size_t members);
  const std::vector<int>& living() const { return living_; }

  int Add(std::shared_ptr<const Record> record, Status status, Time now);
  void Set(int at, std::shared_ptr<const Record> record, Status status, Time now);
  void Remove(int at);
  // Every place that is taken.
  template <typename F>
  void Each(F f) const {
    for (std::size_t at = 0; at < entries_.size(); ++at) {
      if (entries_[at].record) f(static_cast<int>(at), entries_[at]);
    }
  }

  // Of the living records alone: two members whose hashes are equal know of the same fleet.
  std::uint64_t hash() const { return hash_; }
  const std::array<std::uint64_t, kBuckets>& buckets() const { return buckets_; }
  static std::size_t BucketOf(std::string_view name);

 private:
  void Count(const Entry& entry);  // in or out of the hashes: the same sum both ways

  std::vector<Entry> entries_;
  Records* shared_;
  std::size_t size_ = 0;
  std::vector<int> free_, living_;
  // By a hash of the name, so that a name is kept once, in its record; the few whose hash is another's by
  // name.
  boost::unordered_flat_map<std::uint64_t, int> by_hash_;
  std::map<std::string, int, std::less<>> by_name_;
  std::array<std::uint64_t, kBuckets> buckets_{};
  std::uint64_t hash_ = 0;
};

// Name, life, incarnation and address alone: what is remembered of the dead.
std::shared_ptr<const Record> Bare(const Record& record);
// The same member in another incarnation.
std::shared_ptr<const Record> WithIncarnation(const Record& record, std::uint32_t incarnation);

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_MEMBER_TABLE_H_
