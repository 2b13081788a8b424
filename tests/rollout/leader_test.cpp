// SPDX-License-Identifier: Apache-2.0
//
// Tests the leader alone: its phases and decisions in a rollout of four members in two zones, which upgrades
// one member at a time.
#include "rollout/leader.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "rollout_testing.h"

namespace copperpoint::rollout {
namespace {

constexpr std::uint64_t kRollout = 7;

Plan PlanOfTwoStages() {
  Plan plan;
  plan.old_version = "v1";
  plan.new_version = "v2";
  plan.settle_time_s = 1;
  plan.stages = {Stage{.members = 1, .bake_time_s = 5, .min_canary_requests = 100},
                 Stage{.member_fraction = 1, .bake_time_s = 2, .min_canary_requests = 100}};
  return plan;
}

class LeaderOfFour : public ::testing::Test {
 protected:
  // Simulates one second of traffic, and the reports of all members except `without_contact_`.
  void ReportAll() {
    now_ += Millis(1000);
    for (int rank = 0; rank < 4; ++rank) {
      requests_[rank] += 100;
      missed_[rank] += rank < upgraded_ ? canary_missed_per_s_ : 1;
      if (rank == without_contact_) continue;
      wire::MemberReport report;
      report.set_version(rank < upgraded_ ? "v2" : "v1");
      report.set_ready(true);
      report.set_incarnation(rank < upgraded_ ? 2 : 1);
      wire::Stratum& stratum = *report.add_strata();
      stratum.set_requests(requests_[rank]);
      stratum.set_attempts(requests_[rank]);
      stratum.set_missed(missed_[rank]);
      leader_.OnReport(now_, rank, kRollout, report);
    }
  }
  std::optional<Leader::Decision> Advance() {
    auto decision = leader_.Advance(now_, progress_);
    if (decision) progress_ = decision->progress;
    return decision;
  }
  // Advances until the next decision, for at most `seconds`.
  std::optional<Leader::Decision> AdvanceFor(int seconds) {
    for (int i = 0; i < seconds; ++i) {
      ReportAll();
      if (auto decision = Advance()) return decision;
    }
    return std::nullopt;
  }

  Plan plan_ = PlanOfTwoStages();
  UpgradeOrder order_{{{"p1", "a"}, {"p2", "b"}, {"p3", "a"}, {"p4", "b"}}, {1, 4}};
  Leader leader_{plan_, order_};
  Progress progress_{kRollout, RolloutStatus::kInProgress, 0, 0};
  Time now_ = Millis(1000);
  int upgraded_ = 0, without_contact_ = -1;
  std::uint64_t canary_missed_per_s_ = 1;
  std::uint64_t requests_[4] = {}, missed_[4] = {};
};

TEST_F(LeaderOfFour, WithoutAMajorityDecidesNothing) {
  EXPECT_FALSE(Advance());
  EXPECT_EQ(leader_.phase(), Leader::Phase::kWaitingForMajority);
  ReportAll();
  EXPECT_TRUE(Advance());
}

TEST_F(LeaderOfFour, StageGoesThroughUpgradeSettlingAndBakeTime) {
  auto decision = AdvanceFor(1);
  ASSERT_TRUE(decision);
  EXPECT_EQ(decision->event, EventKind::kMemberAdmitted);
  EXPECT_EQ(decision->text, "p1");
  EXPECT_EQ(progress_.admitted_members, 1u);
  EXPECT_FALSE(AdvanceFor(3));
  EXPECT_EQ(leader_.phase(), Leader::Phase::kUpgrading);
  upgraded_ = 1;
  EXPECT_FALSE(AdvanceFor(1));
  EXPECT_EQ(leader_.phase(), Leader::Phase::kSettling);
  decision = AdvanceFor(2);
  ASSERT_TRUE(decision);
  EXPECT_EQ(decision->event, EventKind::kBakeTimeStarted);
  EXPECT_EQ(decision->text, "stage 1: 1 of 4 members upgraded");
  EXPECT_EQ(leader_.phase(), Leader::Phase::kBaking);
  decision = AdvanceFor(10);
  ASSERT_TRUE(decision);
  EXPECT_EQ(decision->event, EventKind::kStageStarted);
  EXPECT_EQ(decision->text,
            "stage 1: canaries 500 requests, 0.0100 missed; baseline 1500, 0.0100; next member p2");
  EXPECT_EQ(progress_.admitted_members, 2u);
}

TEST_F(LeaderOfFour, LastStageCompletesTheRollout) {
  upgraded_ = 4;
  progress_.admitted_members = 4;
  auto decision = AdvanceFor(5);
  ASSERT_TRUE(decision);
  EXPECT_EQ(decision->event, EventKind::kBakeTimeStarted);
  decision = AdvanceFor(5);
  ASSERT_TRUE(decision);
  EXPECT_EQ(decision->event, EventKind::kCompleted);
  EXPECT_EQ(progress_.status, RolloutStatus::kCompleted);
  EXPECT_FALSE(AdvanceFor(1));
}

TEST_F(LeaderOfFour, RegressionStopsAndRollsBack) {
  upgraded_ = 1;
  progress_.admitted_members = 1;
  canary_missed_per_s_ = 60;
  ASSERT_TRUE(AdvanceFor(5));
  const auto decision = AdvanceFor(5);
  ASSERT_TRUE(decision);
  EXPECT_EQ(decision->event, EventKind::kStopped);
  EXPECT_EQ(decision->stop_reason, StopReason::kRegression);
  EXPECT_EQ(decision->text.substr(0, 24), "missed of all is worse b");
  EXPECT_EQ(progress_.status, RolloutStatus::kRolledBack);
}

TEST_F(LeaderOfFour, PlanMayStopWithoutRollingBack) {
  plan_.on_regression = RegressionAction::kStop;
  plan_.time_limit_s = 3;
  progress_.pause_count = 1;
  const auto decision = AdvanceFor(10);
  ASSERT_TRUE(decision);
  EXPECT_EQ(decision->stop_reason, StopReason::kTimeLimit);
  EXPECT_EQ(decision->text, "the rollout took longer than 3 s (limit_s)");
  EXPECT_EQ(progress_.status, RolloutStatus::kStopped);
}

TEST_F(LeaderOfFour, PausedRolloutAdmitsNoMember) {
  progress_.pause_count = 1;
  EXPECT_FALSE(AdvanceFor(5));
  progress_.pause_count = 2;
  EXPECT_TRUE(AdvanceFor(1));
}

TEST_F(LeaderOfFour, MemberWhoseZoneHasNoOtherReadyMemberWaits) {
  without_contact_ = 2;  // The other member of the first member's zone.
  EXPECT_FALSE(AdvanceFor(5));
  without_contact_ = -1;
  EXPECT_TRUE(AdvanceFor(1));
}

TEST_F(LeaderOfFour, MembersUpgradeOneAtATimeUnlessThePlanAllowsMore) {
  upgraded_ = 1;
  progress_.admitted_members = 2;
  EXPECT_FALSE(AdvanceFor(3));
  plan_.max_unavailable = 2;
  ASSERT_TRUE(AdvanceFor(1));
  EXPECT_EQ(progress_.admitted_members, 3u);
}

TEST_F(LeaderOfFour, StageWithTooFewRequestsStopsAfterTenBakeTimes) {
  plan_.stages[0].min_canary_requests = 1000000;
  upgraded_ = 1;
  progress_.admitted_members = 1;
  ASSERT_TRUE(AdvanceFor(5));
  EXPECT_FALSE(AdvanceFor(49));
  const auto decision = AdvanceFor(2);
  ASSERT_TRUE(decision);
  EXPECT_EQ(decision->stop_reason, StopReason::kTooFewRequests);
  EXPECT_EQ(decision->text, "the canaries received 5000 of 1000000 requests in 50 s, too few to compare");
}

}  // namespace
}  // namespace copperpoint::rollout
