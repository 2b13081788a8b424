// SPDX-License-Identifier: Apache-2.0
//
// Tests of the member table: which claim wins, the hashes, and the records of tombstones.
#include "membership/member_table.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace copperpoint::testing {
namespace {

using membership::MemberStatus;
using membership::MemberTable;
using membership::Record;
using membership::Supersedes;
using membership::Time;
using std::chrono::milliseconds;

std::shared_ptr<Record> RecordOf(const std::string& name, std::uint64_t incarnation = 1,
                                 std::uint32_t refutation_number = 1) {
  auto record = std::make_shared<Record>();
  record->set_name(name);
  record->set_address(name + ":1");
  record->set_zone("z");
  record->set_incarnation(incarnation);
  record->set_refutation_number(refutation_number);
  return record;
}

TEST(Supersedes, TheLaterRefutationNumberGoesFirstThenTheGreaterIncarnation) {
  EXPECT_TRUE(Supersedes(*RecordOf("a", 1, 3), *RecordOf("a", 9, 2)));
  EXPECT_FALSE(Supersedes(*RecordOf("a", 9, 2), *RecordOf("a", 1, 3)));
  EXPECT_TRUE(Supersedes(*RecordOf("a", 9, 2), *RecordOf("a", 1, 2)));
  EXPECT_FALSE(Supersedes(*RecordOf("a", 1, 2), *RecordOf("a", 1, 2)));
  EXPECT_TRUE(Supersedes(*RecordOf("a", 1, 0), *RecordOf("a", 1, 0xffffffffu)));
}

TEST(MemberTable, FindsMembersByNameUntilTheyAreRemoved) {
  MemberTable table;
  const int a = table.Add(RecordOf("a"), MemberStatus::kAlive, Time{});
  const int b = table.Add(RecordOf("b"), MemberStatus::kDead, Time{});
  EXPECT_EQ(table.Find("a"), a);
  EXPECT_EQ(table.Find("b"), b);
  EXPECT_EQ(table.Find("c"), MemberTable::kNotFound);
  EXPECT_EQ(table.living(), std::vector<int>{a});
  table.Remove(a);
  EXPECT_EQ(table.Find("a"), MemberTable::kNotFound);
  EXPECT_EQ(table.size(), 1u);
  EXPECT_EQ(table.Add(RecordOf("c"), MemberStatus::kAlive, Time{}), a)
      << "the index of the removed member is used again";
}

TEST(MemberTable, HashesAreEqualForTheSameLivingMembersInAnyOrder) {
  MemberTable first, second;
  for (const char* name : {"a", "b", "c"}) first.Add(RecordOf(name), MemberStatus::kAlive, Time{});
  for (const char* name : {"c", "a", "b"}) second.Add(RecordOf(name), MemberStatus::kAlive, Time{});
  EXPECT_EQ(first.hash(), second.hash());
  EXPECT_EQ(first.buckets(), second.buckets());
  second.Add(RecordOf("d"), MemberStatus::kLeft, Time{});
  EXPECT_EQ(first.hash(), second.hash());
  const int b = second.Find("b");
  second.Set(b, RecordOf("b", 1, 2), MemberStatus::kAlive, Time{});
  EXPECT_NE(first.hash(), second.hash());
  EXPECT_NE(first.buckets()[MemberTable::BucketOf("b")], second.buckets()[MemberTable::BucketOf("b")]);
  second.Set(b, RecordOf("b"), MemberStatus::kAlive, Time{});
  EXPECT_EQ(first.hash(), second.hash());
}

TEST(MemberTable, AStatusIsDatedWhenItChanges) {
  MemberTable table;
  const int a = table.Add(RecordOf("a"), MemberStatus::kAlive, milliseconds(1));
  table.Set(a, RecordOf("a", 1, 2), MemberStatus::kAlive, milliseconds(2));
  EXPECT_EQ(table[a].status_since, Time(milliseconds(1)));
  table.Set(a, RecordOf("a", 1, 2), MemberStatus::kDead, milliseconds(3));
  EXPECT_EQ(table[a].status_since, Time(milliseconds(3)));
  EXPECT_EQ(table[a].last_contact, Time(milliseconds(1)));
  table.Set(a, RecordOf("a", 1, 3), MemberStatus::kAlive, milliseconds(4));
  EXPECT_EQ(table[a].last_contact, Time(milliseconds(4))) << "a revived member counts as seen";
}

TEST(MemberTable, SequencesStartAgainWithAnotherIncarnation) {
  MemberTable table;
  const int a = table.Add(RecordOf("a", 1), MemberStatus::kAlive, Time{});
  EXPECT_TRUE(table.Mutable(a).sequences.Accept(5));
  table.Set(a, RecordOf("a", 1, 2), MemberStatus::kAlive, Time{});
  EXPECT_FALSE(table.Mutable(a).sequences.Accept(5));
  table.Set(a, RecordOf("a", 2), MemberStatus::kAlive, Time{});
  EXPECT_TRUE(table.Mutable(a).sequences.Accept(5));
}

TEST(MemberTable, ATombstoneHasOnlyWhatIdentifiesTheProcess) {
  auto record = RecordOf("a", 7, 3);
  (*record->mutable_metadata())["load"] = "1";
  const auto tombstone = membership::TombstoneOf(*record);
  EXPECT_EQ(tombstone->name(), "a");
  EXPECT_EQ(tombstone->address(), "a:1");
  EXPECT_EQ(tombstone->incarnation(), 7u);
  EXPECT_EQ(tombstone->refutation_number(), 3u);
  EXPECT_TRUE(tombstone->zone().empty());
  EXPECT_TRUE(tombstone->metadata().empty());
}

TEST(RecordPool, SharesEqualRecordsAndDistinguishesTombstones) {
  membership::RecordPool pool;
  const auto first = pool.Share(RecordOf("a"));
  EXPECT_EQ(pool.Share(RecordOf("a")), first);
  EXPECT_NE(pool.Share(membership::TombstoneOf(*first)), first);
  EXPECT_NE(pool.Share(RecordOf("a", 1, 2)), first);
}

}  // namespace
}  // namespace copperpoint::testing
