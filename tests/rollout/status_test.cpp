// SPDX-License-Identifier: Apache-2.0
//
// Pins the JSON with which /rollout and /rollout/history answer.
#include "rollout/status.h"

#include <gtest/gtest.h>

#include "rollout_testing.h"

namespace copperpoint::rollout {
namespace {

class StatusOfTwo : public ::testing::Test {
 protected:
  StatusOfTwo() {
    plan_.name = "three";
    plan_.old_version = "v1";
    plan_.new_version = "v2";
  }
  RolloutStatusView View() const {
    return {7, plan_, order_, progress_, started_by_, false, true, Millis(5500), nullptr};
  }

  Plan plan_;
  UpgradeOrder order_{{{"p1", "a"}, {"p2", "b"}}, {1, 2}};
  Progress progress_{7, RolloutStatus::kInProgress, 1, 1};
  std::string started_by_ = "p1";
};

TEST_F(StatusOfTwo, WithoutARolloutHasTheVersionOnly) {
  EXPECT_EQ(FormatStatus("v1", nullptr, Millis(0)), R"({"version":"v1","change":null})");
}

TEST_F(StatusOfTwo, OfAMemberThatDoesNotLead) {
  const RolloutStatusView view = View();
  EXPECT_EQ(FormatStatus("v2", &view, Millis(0)),
            R"({"version":"v2","change":{"name":"three","from":"v1","to":"v2","by":"p1","course":"going",)"
            R"("paused":true,"members":2,"may_have_changed":1,"stages":[1,2],"held_s":5.5,)"
            R"("majority_lives":true},"leads":false})");
}

TEST_F(StatusOfTwo, OfAnExpiredRollout) {
  RolloutStatusView view = View();
  view.expired = true;
  EXPECT_NE(FormatStatus("v2", &view, Millis(0)).find(R"("course":"never began")"), std::string::npos);
}

TEST_F(StatusOfTwo, OfTheLeaderHasPhaseCohortsAndMembers) {
  plan_.stages = {Stage{.members = 1}, Stage{.members = 2}};
  Leader leader(plan_, order_);
  wire::MemberReport report;
  report.set_version("v2");
  report.set_ready(true);
  report.set_crashes(3);
  leader.OnReport(Millis(1000), 0, 7, report);
  leader.Advance(Millis(1000), progress_);
  RolloutStatusView view = View();
  view.leader = &leader;
  EXPECT_EQ(FormatStatus("v2", &view, Millis(1500)),
            R"({"version":"v2","change":{"name":"three","from":"v1","to":"v2","by":"p1","course":"going",)"
            R"("paused":true,"members":2,"may_have_changed":1,"stages":[1,2],"held_s":5.5,)"
            R"("majority_lives":true},"leads":true,"phase":"gathering","phase_s":0.5,"heard":1,)"
            R"("changed":{"asked":0.0,"missed":0.0,"refused":0.0,"failed":0.0,"attempts":0.0},)"
            R"("others":{"asked":0.0,"missed":0.0,"refused":0.0,"failed":0.0,"attempts":0.0},)"
            R"("cohorts":[{"name":"p1","zone":"a","allowed":true,"version":"v2","ready":true,"heard_s":0.5,)"
            R"("crashes":3},{"name":"p2","zone":"b","allowed":false,"version":"","ready":false,)"
            R"("heard_s":-1.0,"crashes":0}]})");
}

TEST_F(StatusOfTwo, PhasesHaveTheirFixedNames) {
  plan_.stages = {Stage{.members = 2}};
  plan_.settle_time_s = 1;
  order_.stage_ends = {2};
  progress_ = {7, RolloutStatus::kInProgress, 0, 1};
  Leader leader(plan_, order_);
  RolloutStatusView view = View();
  view.leader = &leader;
  const auto phase_at = [&](Time now, const std::string& version) {
    wire::MemberReport report;
    report.set_version(version);
    report.set_ready(true);
    for (const int rank : {0, 1}) leader.OnReport(now, rank, 7, report);
    leader.Advance(now, progress_);
    const std::string json = FormatStatus("v2", &view, now);
    const std::size_t start = json.find(R"("phase":")") + 9;
    return json.substr(start, json.find('"', start) - start);
  };
  EXPECT_EQ(phase_at(Millis(1000), "v1"), "changing");
  progress_.admitted_members = 2;
  EXPECT_EQ(phase_at(Millis(2000), "v2"), "settling");
  EXPECT_EQ(phase_at(Millis(3000), "v2"), "watching");
}

TEST(StatusOfHistory, HasOneObjectPerStep) {
  wire::History history;
  EXPECT_EQ(FormatHistory(history), "[]");
  wire::Step& step = *history.add_steps();
  step.set_event("begun");
  step.set_reason("w");
  step.set_recorded_by("p1");
  step.set_admitted_members(4);
  step.set_age_ms(1500);
  EXPECT_EQ(FormatHistory(history), R"([{"at_s":1.5,"what":"begun","why":"w","by":"p1","prefix":4}])");
}

}  // namespace
}  // namespace copperpoint::rollout
