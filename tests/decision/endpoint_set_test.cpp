// SPDX-License-Identifier: Apache-2.0
//
// How endpoint lists change the records of backends. Guards against a removed backend that stays in use, and
// against a record that is reused while a request refers to it.
#include "decision/endpoint_set.h"

#include <gtest/gtest.h>

namespace copperpoint {
namespace {

TimePoint At(double ms) { return TimePoint{Duration(1e6 + ms)}; }

Endpoint Ready(BackendId id) {
  Endpoint endpoint;
  endpoint.backend = id;
  return endpoint;
}
Endpoint Removed(BackendId id) {
  Endpoint endpoint = Ready(id);
  endpoint.state = EndpointState::kRemoved;
  return endpoint;
}

TEST(EndpointSet, SnapshotRemovesWhatItDoesNotName) {
  EndpointSet set;
  EXPECT_EQ(set.Apply({EndpointUpdateKind::kSnapshot, {Ready(1), Ready(2)}}, At(0)).ready, 2);
  EXPECT_EQ(set.Apply({EndpointUpdateKind::kSnapshot, {Ready(2), Ready(3)}}, At(1)).ready, 0);
  EXPECT_EQ(set.Find(1)->endpoint.state, EndpointState::kRemoved);
  EXPECT_TRUE(set.Find(3)->ready());
}

TEST(EndpointSet, IncrementalUpdateLeavesTheOthers) {
  EndpointSet set;
  set.Apply({EndpointUpdateKind::kSnapshot, {Ready(1), Ready(2)}}, At(0));
  EXPECT_EQ(set.Apply({EndpointUpdateKind::kIncremental, {Removed(2)}}, At(1)).ready, -1);
  EXPECT_TRUE(set.Find(1)->ready());
}

TEST(EndpointSet, CountsEjectedBackendsThatLeave) {
  EndpointSet set;
  set.Apply({EndpointUpdateKind::kSnapshot, {Ready(1)}}, At(0));
  set.Find(1)->health.ejected = true;
  const EndpointSet::Changes changes = set.Apply({EndpointUpdateKind::kIncremental, {Removed(1)}}, At(1));
  EXPECT_EQ(changes.ready, -1);
  EXPECT_EQ(changes.ejected, -1);
}

TEST(EndpointSet, ReportsAnotherStartOfAKnownBackend) {
  EndpointSet set;
  EXPECT_TRUE(set.Apply({EndpointUpdateKind::kSnapshot, {Ready(1)}}, At(0)).listed[0].started);
  EXPECT_FALSE(set.Apply({EndpointUpdateKind::kSnapshot, {Ready(1)}}, At(1)).listed[0].started);
  Endpoint restarted = Ready(1);
  restarted.up_since = At(2);
  EXPECT_TRUE(set.Apply({EndpointUpdateKind::kSnapshot, {restarted}}, At(3)).listed[0].started);
}

TEST(EndpointSet, ReusesTheRecordOfABackendRemovedLongAgo) {
  EndpointSet set;
  set.Apply({EndpointUpdateKind::kSnapshot, {Ready(1)}}, At(0));
  set.Apply({EndpointUpdateKind::kIncremental, {Removed(1)}}, At(1));
  set.Apply({EndpointUpdateKind::kIncremental, {Ready(2)}}, At(1) + EndpointSet::kRemovedRetention);
  EXPECT_EQ(set.backends().size(), 2u) << "the record must not be reused before kRemovedRetention has passed";
  set.Apply({EndpointUpdateKind::kIncremental, {Ready(3)}}, At(2) + EndpointSet::kRemovedRetention);
  EXPECT_EQ(set.backends().size(), 2u);
  EXPECT_EQ(set.Find(1), nullptr);
  EXPECT_EQ(set.IndexOf(*set.Find(3)), 0u);
}

TEST(EndpointSet, DoesNotReuseARecordWithOutstandingAttempts) {
  EndpointSet set;
  set.Apply({EndpointUpdateKind::kSnapshot, {Ready(1)}}, At(0));
  set.Apply({EndpointUpdateKind::kIncremental, {Removed(1)}}, At(1));
  set.Find(1)->outstanding_attempts = 1;
  set.Apply({EndpointUpdateKind::kIncremental, {Ready(2)}}, At(2) + EndpointSet::kRemovedRetention);
  EXPECT_NE(set.Find(1), nullptr);
  EXPECT_EQ(set.backends().size(), 2u);
}

TEST(BackendRing, InsertsWhereARebuildWouldPut) {
  const auto id_of = [](BackendIndex index) { return BackendId{index * 7 + 3}; };
  BackendRing inserted, rebuilt;
  for (BackendIndex i = 0; i < 50; ++i) inserted.Insert(i, id_of);
  inserted.Insert(7, id_of);
  rebuilt.Rebuild(50, id_of);
  EXPECT_EQ(inserted.order(), rebuilt.order());
  inserted.Remove(7);
  EXPECT_EQ(inserted.size(), 49u);
}

}  // namespace
}  // namespace copperpoint
