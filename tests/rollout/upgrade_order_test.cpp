// SPDX-License-Identifier: Apache-2.0
#include "rollout/upgrade_order.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>

#include "rollout_testing.h"

namespace copperpoint::rollout {
namespace {

TEST(UpgradeOrder, IsTheSameForAllMembersAndTakesZonesInTurn) {
  const Plan plan = ParsePlan(kPlan, "plan");
  std::vector<MemberInfo> reversed = NineMembers();
  std::reverse(reversed.begin(), reversed.end());
  const UpgradeOrder a = MakeUpgradeOrder(plan, NineMembers(), 5), b = MakeUpgradeOrder(plan, reversed, 5);
  ASSERT_EQ(a.members.size(), 9u);
  for (std::size_t i = 0; i < 9; ++i) EXPECT_EQ(a.members[i].name, b.members[i].name);
  EXPECT_EQ(a.stage_ends, (std::vector<int>{1, 3, 9}));
  for (std::size_t i = 0; i < 9; i += 3) {
    EXPECT_NE(a.members[i].zone, a.members[i + 1].zone);
    EXPECT_NE(a.members[i + 1].zone, a.members[i + 2].zone);
    EXPECT_NE(a.members[i].zone, a.members[i + 2].zone);
  }
}

// Guards against an order that does not depend on the rollout: the same member would always upgrade first.
// Over many rollouts each member comes first about equally often.
TEST(UpgradeOrder, EveryMemberIsFirstInSomeRollout) {
  const Plan plan = ParsePlan(kPlan, "plan");
  std::map<std::string, int> first;
  for (std::uint64_t rollout_id = 1; rollout_id <= 900; ++rollout_id)
    ++first[MakeUpgradeOrder(plan, NineMembers(), rollout_id).members[0].name];
  EXPECT_EQ(first.size(), 9u);
  for (const auto& [name, times] : first) EXPECT_GT(times, 50) << name;
}

// Guards against a changed order: members of different program versions must compute the same one.
TEST(UpgradeOrder, OfARolloutIsFixed) {
  const UpgradeOrder order = MakeUpgradeOrder(ParsePlan(kPlan, "plan"), NineMembers(), 5);
  std::string names;
  for (const MemberInfo& member : order.members) names += member.name + " ";
  EXPECT_EQ(names, "p1 p2 p9 p4 p8 p3 p7 p5 p6 ");
}

TEST(UpgradeOrder, FindsRankAndStage) {
  const UpgradeOrder order{{{"p1", "a"}, {"p2", "b"}, {"p3", "a"}}, {1, 3}};
  EXPECT_EQ(order.RankOf("p2"), 1);
  EXPECT_EQ(order.RankOf("p4"), UpgradeOrder::kNotAMember);
  EXPECT_EQ(order.StageOf(0), 0);
  EXPECT_EQ(order.StageOf(1), 0);
  EXPECT_EQ(order.StageOf(2), 1);
  EXPECT_EQ(order.StageOf(4), 1);  // Beyond the end of the last stage.
}

TEST(UpgradeOrder, StagesNeverShrinkAndEndWithinTheMembers) {
  Plan plan = ParsePlan(kPlan, "plan");
  plan.stages = {Stage{.members = 4}, Stage{.members = 2}, Stage{.members = 100}};
  EXPECT_EQ(MakeUpgradeOrder(plan, NineMembers(), 1).stage_ends, (std::vector<int>{4, 4, 9}));
}

}  // namespace
}  // namespace copperpoint::rollout
