// SPDX-License-Identifier: Apache-2.0
#include "rollout/version_switch.h"

#include <gtest/gtest.h>

#include <optional>

#include "rollout_testing.h"

namespace copperpoint::rollout {
namespace {

// A member of rank 2 in a rollout that has admitted three members.
class VersionSwitchOfOne : public ::testing::Test {
 protected:
  VersionSwitchOfOne() {
    plan_.old_version = "v1";
    plan_.new_version = "v2";
    plan_.isolation_timeout_s = 20;
    plan_.rollback_interval_s = 2;
  }
  std::optional<VersionRequest> UpdateAt(VersionSwitch& version_switch, Time now, int rank = 2) {
    return version_switch.Update(now, {plan_, progress_, rank, has_majority_, majority_at_});
  }

  Plan plan_;
  Progress progress_{7, RolloutStatus::kInProgress, 0, 3};
  bool has_majority_ = true;
  Time majority_at_ = Millis(0);
  VersionSwitch old_{"v1", "", ""}, new_{"v2", "", ""};
};

TEST_F(VersionSwitchOfOne, AdmittedMemberUpgradesOnce) {
  const auto request = UpdateAt(old_, Millis(0));
  ASSERT_TRUE(request);
  EXPECT_EQ(request->version, "v2");
  EXPECT_EQ(request->reason, "the rollout admitted this member");
  EXPECT_FALSE(UpdateAt(old_, Millis(1)));
  EXPECT_EQ(old_.requested_version(), "v2");
}

TEST_F(VersionSwitchOfOne, MemberThatIsNotAdmittedStays) { EXPECT_FALSE(UpdateAt(old_, Millis(0), 3)); }

TEST_F(VersionSwitchOfOne, ProcessThatIsNoMemberStays) { EXPECT_FALSE(UpdateAt(old_, Millis(0), -1)); }

TEST_F(VersionSwitchOfOne, MemberWithoutAMajorityStays) {
  has_majority_ = false;
  EXPECT_FALSE(UpdateAt(old_, Millis(0)));
}

TEST_F(VersionSwitchOfOne, MemberAtAnotherVersionStays) {
  VersionSwitch other("v0", "", "");
  EXPECT_FALSE(UpdateAt(other, Millis(0)));
}

TEST_F(VersionSwitchOfOne, MemberWithoutASupervisorStays) {
  VersionSwitch unsupervised("", "", "");
  EXPECT_FALSE(UpdateAt(unsupervised, Millis(0)));
}

TEST_F(VersionSwitchOfOne, VersionThatFailedIsNotRequestedAgain) {
  VersionSwitch failed("v1", "v2", "its process exited before it was ready");
  EXPECT_FALSE(UpdateAt(failed, Millis(0)));
  EXPECT_EQ(failed.FailureOf("v2"), "its process exited before it was ready");
  EXPECT_EQ(failed.FailureOf("v3"), "");
  ASSERT_TRUE(UpdateAt(old_, Millis(0)));
  old_.OnVersionFailed("v2", "its process exited before it was ready");
  EXPECT_EQ(old_.requested_version(), "v1");
  EXPECT_FALSE(UpdateAt(old_, Millis(1)));
}

TEST_F(VersionSwitchOfOne, CompletedRolloutStillUpgrades) {
  progress_.status = RolloutStatus::kCompleted;
  EXPECT_TRUE(UpdateAt(old_, Millis(0)));
}

TEST_F(VersionSwitchOfOne, StoppedRolloutLetsMembersStay) {
  progress_.status = RolloutStatus::kStopped;
  EXPECT_FALSE(UpdateAt(old_, Millis(0)));
  EXPECT_FALSE(UpdateAt(new_, Millis(60000)));
}

TEST_F(VersionSwitchOfOne, LastUpgradedMemberRollsBackFirst) {
  progress_.status = RolloutStatus::kRolledBack;
  const auto request = UpdateAt(new_, Millis(0));
  ASSERT_TRUE(request);
  EXPECT_EQ(request->version, "v1");
  EXPECT_EQ(request->reason, "the rollout was taken back");
  EXPECT_FALSE(UpdateAt(old_, Millis(0)));

  VersionSwitch first("v2", "", "");  // Two members roll back before this one.
  EXPECT_FALSE(UpdateAt(first, Millis(0), 0));
  EXPECT_FALSE(UpdateAt(first, Millis(3999), 0));
  EXPECT_TRUE(UpdateAt(first, Millis(4000), 0));
}

TEST_F(VersionSwitchOfOne, IsolatedMemberRollsBackAfterItsTimeout) {
  EXPECT_FALSE(UpdateAt(new_, Millis(20000)));
  plan_.isolation_timeout_s = 0;
  EXPECT_FALSE(UpdateAt(new_, Millis(20001)));
  plan_.isolation_timeout_s = 20;
  const auto request = UpdateAt(new_, Millis(20001));
  ASSERT_TRUE(request);
  EXPECT_EQ(request->version, "v1");
  EXPECT_EQ(request->reason, "no contact to a majority of the members for longer than alone_back_s");
}

}  // namespace
}  // namespace copperpoint::rollout
