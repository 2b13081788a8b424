// SPDX-License-Identifier: Apache-2.0
//
// Rollouts of nine agents in virtual time: tests the decisions that the agents reach together.
#include "rollout/agent.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>

#include "rollout_testing.h"

namespace copperpoint::rollout {
namespace {

TEST(Agent, RolloutWithoutRegressionReachesAllMembersAndCompletes) {
  Fleet fleet;
  fleet.StartRollout();
  fleet.Run(90);
  EXPECT_EQ(fleet.CountRunning("v2"), 9) << fleet.EventLog();
  for (const auto& [name, agent] : fleet.agents)
    EXPECT_EQ(agent->progress().status, RolloutStatus::kCompleted) << name;
  EXPECT_EQ(fleet.switches, 9);
}

TEST(Agent, RegressionInTheFirstStageStopsTheRolloutAndRollsBack) {
  Fleet fleet;
  fleet.new_version_fails = true;
  fleet.StartRollout();
  fleet.Run(60);
  EXPECT_EQ(fleet.CountRunning("v1"), 9);
  EXPECT_EQ(fleet.switches, 2);  // one upgrade, one rollback
  EXPECT_EQ(fleet.CountEvents("stopped missed"), 1);
}

TEST(Agent, VersionThatFailsToStartStopsTheRollout) {
  Fleet fleet;
  fleet.failing_version = "v2";
  fleet.StartRollout();
  fleet.Run(20);
  EXPECT_EQ(fleet.CountRunning("v1"), 9);
  EXPECT_EQ(fleet.version_requests.size(), 1u);
  for (const auto& [name, agent] : fleet.agents) EXPECT_TRUE(agent->progress().requires_rollback()) << name;
}

// Guards against a leader that ignores the lost contact of an upgraded member.
TEST(Agent, UpgradedMemberWithoutContactStopsTheRollout) {
  Fleet fleet;
  fleet.StartRollout();
  fleet.Run(4);
  std::string upgraded;
  for (const auto& [name, version] : fleet.versions)
    if (version == "v2") upgraded = name;
  ASSERT_NE(upgraded, "");
  fleet.exited.insert(upgraded);
  fleet.Run(15);
  EXPECT_EQ(fleet.CountEvents("has had no contact"), 1);
  EXPECT_EQ(fleet.CountRunning("v2"), 1);  // Without contact the member does not know of the stop.
}

// Guards against a leader that decides without a majority of the members.
TEST(Agent, PartitionWithoutAMajorityMakesNoProgressAndRollsBack) {
  Fleet fleet;
  fleet.StartRollout();
  fleet.Run(4);
  ASSERT_EQ(fleet.CountRunning("v2"), 1);
  // The upgraded member and three others are cut off, and two members of the other side exit, so that neither
  // side has the majority of five.
  int others = 0;
  for (const auto& [name, version] : fleet.versions)
    if (version == "v2" || others++ < 3) fleet.cut_off.insert(name);
  fleet.exited = {};
  for (const auto& [name, version] : fleet.versions)
    if (!fleet.cut_off.contains(name) && fleet.exited.size() < 2) fleet.exited.insert(name);
  fleet.Run(60);
  EXPECT_EQ(fleet.CountRunning("v2"), 0) << fleet.EventLog();  // Rolled back after alone_back_s.
  EXPECT_EQ(fleet.CountEvents(" stage stage"), 0) << fleet.EventLog();
}

TEST(Agent, AbortAtAnyMemberRollsBackForGood) {
  Fleet fleet;
  fleet.StartRollout();
  fleet.Run(4);
  EXPECT_FALSE(fleet.agents["p7"]->Abort(fleet.now));
  fleet.CarryOut("p7");
  fleet.Run(90);
  EXPECT_EQ(fleet.CountRunning("v1"), 9);
  for (const auto& [name, agent] : fleet.agents)
    EXPECT_EQ(agent->progress().status, RolloutStatus::kAborted) << name;
  const auto failure = fleet.agents["p2"]->Abort(fleet.now);
  ASSERT_TRUE(failure);
  EXPECT_EQ(failure->error, CommandError::kNothingToAbort);
  EXPECT_EQ(failure->text, "there is no rollout to abort");
}

TEST(Agent, PausedRolloutAdmitsNoFurtherMemberUntilResumed) {
  Fleet fleet;
  fleet.StartRollout();
  fleet.Run(4);
  EXPECT_FALSE(fleet.agents["p3"]->Pause(fleet.now));
  fleet.CarryOut("p3");
  fleet.Run(60);
  EXPECT_EQ(fleet.CountRunning("v2"), 1);
  EXPECT_FALSE(fleet.agents["p5"]->Resume(fleet.now));
  fleet.CarryOut("p5");
  fleet.Run(90);
  EXPECT_EQ(fleet.CountRunning("v2"), 9);
}

TEST(Agent, StartIsRejectedWithTheNameOfTheRolloutInProgress) {
  Fleet fleet;
  fleet.StartRollout();
  fleet.Run(2);
  const auto failure = fleet.agents["p4"]->Start(fleet.now, fleet.plan, NineMembers());
  ASSERT_TRUE(failure);
  EXPECT_EQ(failure->error, CommandError::kRolloutInProgress);
  EXPECT_EQ(failure->text, "the rollout 'nine' is in progress; wait for its end or abort it");
  fleet.Run(120);
  Plan back = fleet.plan;
  std::swap(back.old_version, back.new_version);
  EXPECT_FALSE(fleet.agents["p4"]->Start(fleet.now, back, NineMembers()));
  fleet.CarryOut("p4");
  fleet.Run(120);
  EXPECT_EQ(fleet.CountRunning("v1"), 9);
}

TEST(Agent, LossOfTheLeaderLetsAnotherMemberContinue) {
  Fleet fleet;
  fleet.StartRollout();
  fleet.Run(16);
  const std::string leader = fleet.Leader();
  ASSERT_NE(leader, "");
  fleet.exited.insert(leader);
  fleet.Run(4);
  EXPECT_NE(fleet.Leader(), "");
  fleet.Run(2);
  fleet.exited.clear();
  fleet.documents[leader].clear();
  fleet.StartProcess(leader);
  fleet.Run(120);
  EXPECT_TRUE(fleet.CountRunning("v2") == 9 || fleet.CountRunning("v1") == 9) << fleet.CountRunning("v2");
}

// Guards against an agent that applies progress without comparing the rollout to which it belongs.
TEST(Agent, ProgressOfAnotherRolloutIsIgnored) {
  Fleet fleet;
  fleet.StartRollout();
  fleet.Run(2);
  const Progress other{fleet.agents["p1"]->progress().rollout_id - 1, RolloutStatus::kAborted, 0, 9};
  EXPECT_FALSE(fleet.agents["p1"]->AcceptsDocument(kProgressTopic, other.Encode()));
  wire::AgentMessage message;
  message.set_rollout_id(other.rollout_id);
  message.set_progress(other.Encode());
  for (auto& [name, agent] : fleet.agents) agent->OnMessage(fleet.now, "p1", message.SerializeAsString());
  // The progress in a message with the id of an earlier rollout is ignored even if it claims a later one.
  message.set_progress(Progress{other.rollout_id + 2, RolloutStatus::kAborted, 0, 9}.Encode());
  for (auto& [name, agent] : fleet.agents) agent->OnMessage(fleet.now, "p1", message.SerializeAsString());
  for (auto& [name, agent] : fleet.agents) EXPECT_FALSE(agent->progress().ended()) << name;
  fleet.Run(90);
  EXPECT_EQ(fleet.CountRunning("v2"), 9) << fleet.EventLog();
}

// ---- one member ------------------------------------------------------------------------------------------

Agent MakeAgent(std::uint64_t stored_progress = 0) {
  return Agent(
      {"p1", "v1", 1, stored_progress, "", ""}, [](const std::string&) { return true; },
      [] { return wire::MemberReport(); });
}

TEST(Agent, WithoutARolloutIsIdleAndNeverTicks) {
  const Agent agent = MakeAgent();
  EXPECT_EQ(agent.state(), MemberState::kIdle);
  EXPECT_FALSE(agent.busy());
  EXPECT_GT(agent.next_tick_at(), std::chrono::hours(24 * 365));
}

TEST(Agent, StoredProgressOfARolloutInProgressAwaitsItsPlan) {
  const std::uint64_t id = RolloutIdOf(DocumentVersion(7, 0xabcdef01));
  const Progress stored{id, RolloutStatus::kInProgress, 0, 2};
  Agent agent = MakeAgent(stored.Encode());
  EXPECT_EQ(agent.state(), MemberState::kAwaitingPlan);
  EXPECT_TRUE(agent.AcceptsDocument(kPlanTopic, DocumentVersion(7, 0xabcdef01)));
  EXPECT_FALSE(agent.AcceptsDocument(kPlanTopic, DocumentVersion(8, 0xabcdef01)));
  const auto failure = agent.Start(Millis(0), ParsePlan(kPlan, "plan"), NineMembers());
  ASSERT_TRUE(failure);
  EXPECT_EQ(failure->text, "a rollout is in progress; its plan has not been received yet");
  agent.OnDocument(Millis(0), kProgressTopic, Progress{id, RolloutStatus::kRolledBack, 0, 2}.Encode(), "");
  EXPECT_EQ(agent.state(), MemberState::kIdle);
}

TEST(Agent, RolloutThatAdmitsNobodyInTimeExpiresAndLetsAnotherStart) {
  Agent agent(
      {"p1", "v1", 1, 0, "", ""}, [](const std::string&) { return false; },
      [] { return wire::MemberReport(); });
  ASSERT_FALSE(agent.Start(Millis(0), ParsePlan(kPlan, "plan"), NineMembers()));
  EXPECT_EQ(agent.state(), MemberState::kInProgress);
  agent.OnTick(Millis(20000));
  EXPECT_EQ(agent.state(), MemberState::kInProgress);
  agent.OnTick(Millis(20250));
  EXPECT_EQ(agent.state(), MemberState::kExpired);
  EXPECT_FALSE(agent.Start(Millis(21000), ParsePlan(kPlan, "plan"), NineMembers()));
}

TEST(Agent, ProgressOfALaterRolloutStopsThisOne) {
  Agent agent = MakeAgent();
  ASSERT_FALSE(agent.Start(Millis(0), ParsePlan(kPlan, "plan"), NineMembers()));
  const Progress later{agent.progress().rollout_id + (1 << 12), RolloutStatus::kInProgress, 0, 1};
  EXPECT_TRUE(agent.AcceptsDocument(kProgressTopic, later.Encode()));
  agent.OnDocument(Millis(10), kProgressTopic, later.Encode(), "");
  EXPECT_EQ(agent.progress().status, RolloutStatus::kStopped);
  EXPECT_EQ(agent.state(), MemberState::kEnded);
}

TEST(Agent, CommandsWithoutARolloutFailWithTheirReason) {
  Agent agent = MakeAgent();
  const Plan plan = ParsePlan(kPlan, "plan");
  EXPECT_EQ(agent.Start(Millis(0), plan, {})->error, CommandError::kNoMembers);
  // Alone, its plan would be lost with its process, and the next process would wait for it.
  EXPECT_EQ(agent.Start(Millis(0), plan, {{"p1", "a"}})->error, CommandError::kNoMembers);
  EXPECT_EQ(agent.Start(Millis(0), plan, std::vector<MemberInfo>(32768))->error,
            CommandError::kTooManyMembers);
  EXPECT_EQ(agent.Abort(Millis(0))->error, CommandError::kNothingToAbort);
  EXPECT_EQ(agent.Pause(Millis(0))->error, CommandError::kNoRolloutInProgress);
  ASSERT_FALSE(agent.Start(Millis(0), plan, NineMembers()));
  EXPECT_EQ(agent.Resume(Millis(0))->error, CommandError::kNotPaused);
  EXPECT_FALSE(agent.Pause(Millis(0)));
  EXPECT_EQ(agent.Pause(Millis(0))->error, CommandError::kAlreadyPaused);
}

// Guards against an overflow of the encoded pause count, and against a last pause that cannot be resumed.
TEST(Agent, PausesAreRejectedBeforeTheirCountOverflows) {
  Agent agent = MakeAgent();
  ASSERT_FALSE(agent.Start(Millis(0), ParsePlan(kPlan, "plan"), NineMembers()));
  for (int i = 0; i < 511; ++i) {
    ASSERT_FALSE(agent.Pause(Millis(0))) << i;
    ASSERT_FALSE(agent.Resume(Millis(0))) << i;
  }
  EXPECT_EQ(agent.Pause(Millis(0))->error, CommandError::kTooManyPauses);
  EXPECT_FALSE(agent.progress().paused());
}

TEST(Agent, PlanOfALaterProgramIsRejectedAndNotJoined) {
  Agent agent = MakeAgent();
  wire::RolloutDocument document;
  document.set_plan("from = \"v1\"\nto = \"v2\"\nunknown_key = 1\n[[stage]]\nmembers = 1\n");
  agent.OnDocument(Millis(0), kPlanTopic, DocumentVersion(3, 1), document.SerializeAsString());
  EXPECT_EQ(agent.state(), MemberState::kIdle);
  const Agent::Output output = agent.TakeOutput();
  ASSERT_EQ(output.events.size(), 1u);
  EXPECT_EQ(output.events[0].kind, EventKind::kPlanRejected);
  EXPECT_EQ(output.events[0].reason,
            "the plan has keys or values that this program version does not support");
}

}  // namespace
}  // namespace copperpoint::rollout
