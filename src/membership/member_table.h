// SPDX-License-Identifier: Apache-2.0
//
// The members of the fleet as one of them knows them. A claim is the record and status of a member as another
// states them. Of two claims on a name, one wins by these rules:
//   1. The later refutation number wins, in serial arithmetic, so that the numbers are never exhausted.
//   2. Between two incarnations with the same refutation number, the greater incarnation wins.
//   3. Within one incarnation, dead and left win over suspect, suspect over alive, and a later record version
//      over an earlier one. Merging claims in any order gives the same table.
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

// The state that a member publishes of itself. The values are those on the wire.
enum class MemberState { kStarting = 0, kServing = 1, kDraining = 2, kLeaving = 3 };
// The status that the other members have determined for a member. The values are those on the wire.
enum class MemberStatus { kAlive = 0, kSuspect = 1, kDead = 2, kLeft = 3 };
// Return the names that JSON and log lines use.
const char* NameOf(MemberState state);
const char* NameOf(MemberStatus status);

// Returns whether a is later than b in the serial number arithmetic of RFC 1982.
inline bool IsLater(std::uint32_t a, std::uint32_t b) { return static_cast<std::int32_t>(a - b) > 0; }

// Returns whether a wins over b by rules 1 and 2. Both records and messages state the two numbers.
template <typename A, typename B>
bool Supersedes(const A& a, const B& b) {
  if (a.refutation_number() != b.refutation_number())
    return IsLater(a.refutation_number(), b.refutation_number());
  return a.incarnation() > b.incarnation();
}

using Record = wire::Record;

struct Member {
  std::shared_ptr<const Record> record;  // nullptr if the slot is free; from TombstoneOf for a tombstone
  MemberStatus status = MemberStatus::kAlive;
  Time status_since{};
  Time last_contact{};           // the local member's latest contact with it, or one that another reported
  SequenceWindow sequences{};    // the sequence numbers of messages received from the member
  std::size_t living_index = 0;  // the member's position in MemberTable::living()

  bool living() const { return status <= MemberStatus::kSuspect; }
};

// Shares equal records among many tables in one process, as in virtual time. Must be used by one thread only.
// Owns no record.
class RecordPool {
 public:
  std::shared_ptr<const Record> Share(std::shared_ptr<const Record> record);

 private:
  static constexpr std::size_t kMinSweep = 1024;

  // Only the member that a record describes changes it, so that incarnation, refutation number and version
  // identify the record; the size in bytes distinguishes a tombstone.
  using Key = std::tuple<std::uint64_t, std::uint32_t, std::uint32_t, std::size_t>;
  std::map<Key, std::weak_ptr<const Record>> records_;
  std::size_t sweep_at_ = kMinSweep;  // number of records at which those that no table uses are removed
};

// Owns the living members, the tombstones, and the hashes by which two tables are compared. A member is
// referred to by its index, which stays the same until the member is removed.
class MemberTable {
 public:
  static constexpr std::size_t kBuckets = 64;
  static constexpr int kNotFound = -1;

  // `pool` may be nullptr, and must outlive the table.
  explicit MemberTable(RecordPool* pool = nullptr) : pool_(pool) {}

  // Returns the index of the member with this name, or kNotFound.
  int Find(std::string_view name) const;
  const Member& operator[](int index) const { return members_[static_cast<std::size_t>(index)]; }
  // Gives access to the fields that are not part of the hashes: last_contact, status_since and sequences.
  Member& Mutable(int index) { return members_[static_cast<std::size_t>(index)]; }
  std::size_t size() const { return size_; }
  void Reserve(std::size_t members);
  // Returns the indices of the members that are alive or suspect, in no particular order.
  const std::vector<int>& living() const { return living_; }

  // Adds a member, whose name must not be in the table, and returns its index.
  int Add(std::shared_ptr<const Record> record, MemberStatus status, Time now);
  // Replaces the record and status of a member; the name must be the same.
  void Set(int index, std::shared_ptr<const Record> record, MemberStatus status, Time now);
  void Remove(int index);
  // Calls visit(index, member) for every member.
  template <typename Visit>
  void ForEach(Visit visit) const {
    for (std::size_t index = 0; index < members_.size(); ++index) {
      if (members_[index].record) visit(static_cast<int>(index), members_[index]);
    }
  }

  // Returns the hash of the living members' records: tables with equal hashes are taken to be equal. Each
  // name belongs to one bucket, and each bucket has a hash of its own.
  std::uint64_t hash() const { return hash_; }
  const std::array<std::uint64_t, kBuckets>& buckets() const { return buckets_; }
  static std::size_t BucketOf(std::string_view name);

 private:
  // Adds a living member to the hashes or removes it; both are the same exclusive or.
  void ToggleHash(const Member& member);
  void RemoveName(int index, const std::string& name);

  std::vector<Member> members_;
  RecordPool* pool_;
  std::size_t size_ = 0;
  std::vector<int> free_, living_;
  // by_hash_ has the indices by a hash of the name, so that a name is stored only in its record; by_name_ has
  // the few members whose hash is that of another name in by_hash_.
  boost::unordered_flat_map<std::uint64_t, int> by_hash_;
  std::map<std::string, int, std::less<>> by_name_;
  std::array<std::uint64_t, kBuckets> buckets_{};
  std::uint64_t hash_ = 0;
};

// Returns the record of a tombstone: the name, incarnation, refutation number and address of a member that
// died or left.
std::shared_ptr<const Record> TombstoneOf(const Record& record);
std::shared_ptr<const Record> WithRefutationNumber(const Record& record, std::uint32_t refutation_number);

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_MEMBER_TABLE_H_
