// SPDX-License-Identifier: Apache-2.0
//
// The members of the fleet as one of them knows them, and the rule on which of two claims to a name holds:
//   1. the later refutation number, in serial arithmetic, so that it never runs out;
//   2. of one refutation number in two incarnations, the greater incarnation;
//   3. of one incarnation, dead or left before suspect before alive, and of records the later version.
// Claims that are merged by it in any order give the same table.
#ifndef COPPERPOINT_MEMBERSHIP_MEMBER_TABLE_H_
#define COPPERPOINT_MEMBERSHIP_MEMBER_TABLE_H_

#include <array>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "membership/options.h"
#include "membership/sequence_window.h"
#include "message.pb.h"

namespace copperpoint::membership {

// What a member publishes of its own work. The values are those of the wire.
enum class MemberState { kStarting = 0, kServing = 1, kDraining = 2, kLeaving = 3 };
// What the others know of it. The values are those of the wire.
enum class MemberStatus { kAlive = 0, kSuspect = 1, kDead = 2, kLeft = 3 };
// The names that JSON and log lines use.
const char* NameOf(MemberState state);
const char* NameOf(MemberStatus status);

// RFC 1982: a is later than b.
inline bool IsLater(std::uint32_t a, std::uint32_t b) { return static_cast<std::int32_t>(a - b) > 0; }

// Rules 1 and 2: whether a's claim to a name goes before b's. Records and messages state both numbers.
template <typename A, typename B>
bool Supersedes(const A& a, const B& b) {
  if (a.refutation_number() != b.refutation_number())
    return IsLater(a.refutation_number(), b.refutation_number());
  return a.incarnation() > b.incarnation();
}

using Record = wire::Record;

struct Member {
  std::shared_ptr<const Record> record;  // of a tombstone: TombstoneOf. nullptr: the slot is free
  MemberStatus status = MemberStatus::kAlive;
  Time status_since{};
  Time last_contact{};           // the latest that this member had or that another reported
  SequenceWindow sequences{};    // of messages received from it
  std::size_t living_index = 0;  // its position in MemberTable::living()

  bool living() const { return status <= MemberStatus::kSuspect; }
};

// Shares equal records among many tables in one process, as in virtual time. For one thread. Owns no record.
class RecordPool {
 public:
  std::shared_ptr<const Record> Share(std::shared_ptr<const Record> record);

 private:
  static constexpr std::size_t kMinSweep = 1024;

  // Only its owner writes a record, so that incarnation, refutation number and version identify it; the size
  // in bytes distinguishes a tombstone.
  using Key = std::tuple<std::uint64_t, std::uint32_t, std::uint32_t, std::size_t>;
  std::map<Key, std::weak_ptr<const Record>> records_;
  std::size_t sweep_at_ = kMinSweep;  // records, at which those that no table uses are removed
};

// Owns the members, living ones and tombstones, and the hashes by which two tables are compared. A member is
// referred to by its index, which it has until it is removed.
class MemberTable {
 public:
  static constexpr std::size_t kBuckets = 64;
  static constexpr int kNotFound = -1;

  // `pool` may be nullptr, and must outlive the table.
  explicit MemberTable(RecordPool* pool = nullptr) : pool_(pool) {}

  // kNotFound: no member has this name.
  int Find(std::string_view name) const;
  const Member& operator[](int index) const { return members_[static_cast<std::size_t>(index)]; }
  // For what is not part of the hashes: last_contact, status_since and sequences.
  Member& Mutable(int index) { return members_[static_cast<std::size_t>(index)]; }
  std::size_t size() const { return size_; }
  void Reserve(std::size_t members);
  // The indices of the members that are alive or suspect, in no order.
  const std::vector<int>& living() const { return living_; }

  // The name must be a new one.
  int Add(std::shared_ptr<const Record> record, MemberStatus status, Time now);
  // Replaces record and status; the name must be the same.
  void Set(int index, std::shared_ptr<const Record> record, MemberStatus status, Time now);
  void Remove(int index);
  // Calls visit(index, member) for every member.
  template <typename Visit>
  void ForEach(Visit visit) const {
    for (std::size_t index = 0; index < members_.size(); ++index) {
      if (members_[index].record) visit(static_cast<int>(index), members_[index]);
    }
  }

  // Of the living members' records: two tables with equal hashes are equal. Each name belongs to a bucket,
  // which has a hash of its own.
  std::uint64_t hash() const { return hash_; }
  const std::array<std::uint64_t, kBuckets>& buckets() const { return buckets_; }
  static std::size_t BucketOf(std::string_view name);

 private:
  // Adds a living member to the hashes, or takes it out: the two are the same.
  void ToggleHash(const Member& member);
  void RemoveName(int index, const std::string& name);

  std::vector<Member> members_;
  RecordPool* pool_;
  std::size_t size_ = 0;
  std::vector<int> free_, living_;
  // Indices by a hash of the name, so that a name is stored only in its record; by_name_ has the few whose
  // hash is another name's too.
  boost::unordered_flat_map<std::uint64_t, int> by_hash_;
  std::map<std::string, int, std::less<>> by_name_;
  std::array<std::uint64_t, kBuckets> buckets_{};
  std::uint64_t hash_ = 0;
};

// Name, incarnation, refutation number and address: what is remembered of a member that died or left.
std::shared_ptr<const Record> TombstoneOf(const Record& record);
std::shared_ptr<const Record> WithRefutationNumber(const Record& record, std::uint32_t refutation_number);

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_MEMBER_TABLE_H_
