// SPDX-License-Identifier: Apache-2.0
#include "rollout/election.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

#include "rollout_testing.h"

namespace copperpoint::rollout {
namespace {

class ElectionOfNine : public ::testing::Test {
 protected:
  Election MakeElection(int own_rank, std::uint64_t rollout_id = 7) {
    Election election([this](const std::string& name) { return !dead_.contains(name); });
    election.Start(Millis(1000), order_, own_rank, rollout_id);
    election.Update(Millis(1000));
    return election;
  }
  int LeaderOf(std::uint64_t rollout_id) {
    int leader = -1;
    for (int rank = 0; rank < 9; ++rank) {
      if (dead_.contains(order_.members[static_cast<std::size_t>(rank)].name)) continue;
      if (!MakeElection(rank, rollout_id).is_leader()) continue;
      EXPECT_EQ(leader, -1);
      leader = rank;
    }
    return leader;
  }

  UpgradeOrder order_{NineMembers(), {9}};
  std::set<std::string> dead_;
};

TEST_F(ElectionOfNine, ElectsOneMemberAndAnotherWhenItDies) {
  const int leader = LeaderOf(7);
  ASSERT_NE(leader, -1);
  dead_.insert(order_.members[static_cast<std::size_t>(leader)].name);
  const int next = LeaderOf(7);
  EXPECT_NE(next, -1);
  EXPECT_NE(next, leader);
}

TEST_F(ElectionOfNine, RolloutsHaveDifferentLeaders) {
  std::set<int> leaders;
  for (std::uint64_t rollout_id = 1; rollout_id <= 50; ++rollout_id) leaders.insert(LeaderOf(rollout_id));
  EXPECT_GT(leaders.size(), 3u);
}

// Guards against a changed hash: members of different program versions must elect the same leader.
TEST_F(ElectionOfNine, LeaderOfARolloutIsFixed) {
  EXPECT_EQ(order_.members[static_cast<std::size_t>(LeaderOf(7))].name, "p2");
}

TEST_F(ElectionOfNine, MajorityIsOfTheLivingMembers) {
  Election election = MakeElection(0);
  EXPECT_TRUE(election.has_majority());
  EXPECT_EQ(election.majority_at(), Millis(1000));
  dead_ = {"p5", "p6", "p7", "p8"};
  election.Update(Millis(1500));
  EXPECT_TRUE(election.has_majority());
  dead_.insert("p9");
  election.Update(Millis(2000));
  EXPECT_FALSE(election.has_majority());
  EXPECT_EQ(election.majority_at(), Millis(1500));
}

TEST_F(ElectionOfNine, ResultIsUpToHalfASecondOld) {
  Election election = MakeElection(0);
  dead_ = {"p2", "p3", "p4", "p5", "p6", "p7", "p8", "p9"};
  election.Update(Millis(1499));
  EXPECT_TRUE(election.has_majority());
  election.Update(Millis(1500));
  EXPECT_FALSE(election.has_majority());
}

TEST_F(ElectionOfNine, ProcessThatIsNoMemberNeverLeads) {
  dead_ = {"p1", "p2", "p3", "p4", "p5", "p6", "p7", "p8", "p9"};
  EXPECT_FALSE(MakeElection(UpgradeOrder::kNotAMember).is_leader());
  EXPECT_TRUE(MakeElection(0).is_leader());
}

}  // namespace
}  // namespace copperpoint::rollout
