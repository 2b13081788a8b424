// SPDX-License-Identifier: Apache-2.0
//
// Who is in the fleet, as one member knows it: a table of claims that merges in any order. Which of two
// claims holds is said here alone:
//   1. the later refutation number, in serial arithmetic, so that it has no end;
//   2. of one refutation number in two incarnations, the greater incarnation;
//   3. of one incarnation, dead or left before suspect before alive, and of records the later version.
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

enum class MemberState { kStarting = 0, kServing = 1, kDraining = 2, kLeaving = 3 };
enum class MemberStatus { kAlive = 0, kSuspect = 1, kDead = 2, kLeft = 3 };
const char* NameOf(MemberState state);
const char* NameOf(MemberStatus status);

// RFC 1982: a is later than b.
inline bool IsLater(std::uint32_t a, std::uint32_t b) { return static_cast<std::int32_t>(a - b) > 0; }
// Rules 1 and 2: whether one claim to a name goes before another.
bool Supersedes(std::uint32_t refutations_a, std::uint64_t incarnation_a, std::uint32_t refutations_b,
                std::uint64_t incarnation_b);

using Record = wire::Record;

struct Member {
  std::shared_ptr<const Record> record;  // null: the place is free. Of those gone: bare
  MemberStatus status = MemberStatus::kAlive;
  Time status_since{};              // of the status
  Time last_contact{};              // the latest contact, of this member's own or told by others
  std::uint32_t last_sequence = 0;  // of messages straight from it, and which of the 64 before were seen
  std::uint64_t seen_sequences = 0;
  std::size_t living_index = 0;  // among the living

  bool living() const { return status <= MemberStatus::kSuspect; }
};

// For many views in one process, as in virtual time: records that are equal are kept once. One thread's.
class RecordPool {
 public:
  std::shared_ptr<const Record> Share(std::shared_ptr<const Record> record);

 private:
  // Its owner alone writes a record, so these say all of it; the size tells a bare one from a whole.
  using Key = std::tuple<std::uint64_t, std::uint32_t, std::uint32_t, std::size_t>;
  std::map<Key, std::weak_ptr<const Record>> records_;
  std::size_t sweep_at_ = 1024;
};

class MemberTable {
 public:
  explicit MemberTable(RecordPool* shared = nullptr) : shared_(shared) {}

  static constexpr std::size_t kBuckets = 64;
  static constexpr int kNotFound = -1;

  int Find(std::string_view name) const;
  const Member& operator[](int at) const { return entries_[static_cast<std::size_t>(at)]; }
  Member& Mutable(int at) { return entries_[static_cast<std::size_t>(at)]; }
  std::size_t size() const { return size_; }
  void Reserve(std::size_t members);
  const std::vector<int>& living() const { return living_; }

  int Add(std::shared_ptr<const Record> record, MemberStatus status, Time now);
  void Set(int at, std::shared_ptr<const Record> record, MemberStatus status, Time now);
  void Remove(int at);
  // Every place that is taken.
  template <typename F>
  void ForEach(F f) const {
    for (std::size_t at = 0; at < entries_.size(); ++at) {
      if (entries_[at].record) f(static_cast<int>(at), entries_[at]);
    }
  }

  // Of the living records alone: two members whose hashes are equal know of the same fleet.
  std::uint64_t hash() const { return hash_; }
  const std::array<std::uint64_t, kBuckets>& buckets() const { return buckets_; }
  static std::size_t BucketOf(std::string_view name);

 private:
  void Count(const Member& entry);  // in or out of the hashes: the same sum both ways

  std::vector<Member> entries_;
  RecordPool* shared_;
  std::size_t size_ = 0;
  std::vector<int> free_, living_;
  // By a hash of the name, so that a name is kept once, in its record; the few whose hash is another's by
  // name.
  boost::unordered_flat_map<std::uint64_t, int> by_hash_;
  std::map<std::string, int, std::less<>> by_name_;
  std::array<std::uint64_t, kBuckets> buckets_{};
  std::uint64_t hash_ = 0;
};

// Name, incarnation, refutation number and address alone: what is remembered of the dead.
std::shared_ptr<const Record> Bare(const Record& record);
// The same member in another refutation number.
std::shared_ptr<const Record> WithRefutationNumber(const Record& record, std::uint32_t refutation_number);

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_MEMBER_TABLE_H_
