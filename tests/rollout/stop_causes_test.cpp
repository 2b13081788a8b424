// SPDX-License-Identifier: Apache-2.0
//
// Tests the causes that stop a rollout other than a regression of its requests: failures of members, and the
// use of resources.
#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "rollout/member_failures.h"
#include "rollout/resource_usage.h"
#include "rollout_testing.h"

namespace copperpoint::rollout {
namespace {

// Three members of one zone; the first was admitted at 1 ms, since 0 stands for a member that is not
// admitted.
class MemberFailures : public ::testing::Test {
 protected:
  MemberFailures() {
    plan_.new_version = "v2";
    order_.members = {{"p1", "a"}, {"p2", "a"}, {"p3", "a"}};
    members_.OnAdmitted(Millis(1), 1);
  }
  void Report(Time now, int rank, const std::string& version, std::uint32_t crashes = 0,
              const std::string& failure = "") {
    wire::MemberReport report;
    report.set_version(version);
    report.set_ready(true);
    report.set_crashes(crashes);
    report.set_failure(failure);
    members_.OnReport(now, rank, 7, report);
  }
  std::optional<StopCause> FindAt(Time now) {
    return FindMemberFailure({plan_, order_, members_, 1, Millis(1)}, now);
  }

  Plan plan_;
  UpgradeOrder order_;
  MemberTable members_{"v2", 3};
};

TEST_F(MemberFailures, HealthyMembersHaveNone) {
  Report(Millis(1000), 0, "v2");
  Report(Millis(1000), 1, "v1");
  Report(Millis(1000), 2, "v1");
  EXPECT_FALSE(FindAt(Millis(1000)));
}

TEST_F(MemberFailures, VersionThatASupervisorRolledBackStops) {
  Report(Millis(1000), 0, "v1", 0, "its process exited before it was ready");
  const auto cause = FindAt(Millis(1000));
  ASSERT_TRUE(cause);
  EXPECT_EQ(cause->reason, StopReason::kVersionFailed);
  EXPECT_EQ(cause->text, "p1 could not run version v2: its process exited before it was ready");
}

TEST_F(MemberFailures, UpgradedMemberWithoutContactStopsWhileItsZoneHasContact) {
  Report(Millis(1000), 0, "v2");
  for (const int rank : {1, 2}) Report(Millis(7000), rank, "v1");
  EXPECT_FALSE(FindAt(Millis(6999)));  // contact_timeout_s is 6.
  const auto cause = FindAt(Millis(7000));
  ASSERT_TRUE(cause);
  EXPECT_EQ(cause->reason, StopReason::kContactLost);
  EXPECT_EQ(
      cause->text,
      "p1 has had no contact for 6.0 s at version v2, while 2 of 2 other members of zone a have contact");
}

TEST_F(MemberFailures, ZoneWithoutContactExcusesItsUpgradedMember) {
  Report(Millis(1000), 0, "v2");
  Report(Millis(7000), 1, "v1");  // One of two members is no majority of the zone.
  EXPECT_FALSE(FindAt(Millis(7000)));
}

TEST_F(MemberFailures, MemberThatIsNotReadyInTimeStops) {
  for (const int rank : {0, 1, 2}) Report(Millis(30000), rank, "v1");
  EXPECT_FALSE(FindAt(Millis(30001)));  // upgrade_timeout_s is 30.
  const auto cause = FindAt(Millis(30002));
  ASSERT_TRUE(cause);
  EXPECT_EQ(cause->reason, StopReason::kUpgradeTimeout);
  EXPECT_EQ(cause->text, "p1 is not ready at version v2 after 30 s (change_s)");
}

TEST_F(MemberFailures, CrashesStopAboveThreeTimesTheBaselinesRate) {
  Report(Millis(1000), 1, "v1");
  Report(Millis(1000), 2, "v1");
  Report(Millis(1000), 0, "v2", 1);
  const auto cause = FindAt(Millis(1000));  // 1 > 3 * 0.5 / 2
  ASSERT_TRUE(cause);
  EXPECT_EQ(cause->reason, StopReason::kCrashes);
  EXPECT_EQ(cause->text, "1 crashes at 1 upgraded members, 0 at 2 other members");
  Report(Millis(1000), 1, "v1", 1);
  EXPECT_FALSE(FindAt(Millis(1000)));  // 1 < 3 * 1.5 / 2
}

// ---- resources -------------------------------------------------------------------------------------------

// Four members; the first is upgraded. Each has 1,000 requests.
class ResourceUsage : public ::testing::Test {
 protected:
  void Report(int rank, double processor_us_per_request, std::uint32_t memory_kb,
              std::uint64_t requests = 1000) {
    wire::MemberReport report;
    report.set_version(rank == 0 ? "v2" : "v1");
    report.set_ready(true);
    report.add_strata();
    members_.OnReport(Millis(0), rank, 7, report);
    report.mutable_strata(0)->set_requests(requests);
    report.set_cpu_us(static_cast<std::uint64_t>(processor_us_per_request * static_cast<double>(requests)));
    report.set_memory_kb(memory_kb);
    members_.OnReport(Millis(0), rank, 7, report);
  }
  void ReportBaseline() {
    Report(1, 290, 30000);
    Report(2, 300, 31000);
    Report(3, 310, 32000);
  }
  std::optional<StopCause> Find() { return FindResourceRegression(members_, 1, Guardrails()); }

  MemberTable members_{"v2", 4};
};

TEST_F(ResourceUsage, CanaryLikeTheBaselineDoesNotStop) {
  ReportBaseline();
  Report(0, 305, 31000);
  EXPECT_FALSE(Find());
}

TEST_F(ResourceUsage, ProcessorTimeAboveTheGuardrailStops) {
  ReportBaseline();
  Report(0, 449, 31000);  // processor_increase is 0.5.
  EXPECT_FALSE(Find());
  Report(0, 600, 31000);
  const auto cause = Find();
  ASSERT_TRUE(cause);
  EXPECT_EQ(cause->reason, StopReason::kProcessorTime);
  EXPECT_EQ(cause->text, "the canaries use 600 us of processor time per request, the baseline 300 us");
}

TEST_F(ResourceUsage, MemoryAboveTheGuardrailStops) {
  ReportBaseline();
  Report(0, 300, 70000);  // memory_increase is 1.
  const auto cause = Find();
  ASSERT_TRUE(cause);
  EXPECT_EQ(cause->reason, StopReason::kMemory);
  EXPECT_EQ(cause->text, "the canaries use 70000 kB of memory, the baseline 31000 kB");
}

TEST_F(ResourceUsage, CanaryWithFewRequestsDoesNotStop) {
  ReportBaseline();
  Report(0, 600, 0, 199);
  EXPECT_FALSE(Find());
}

TEST_F(ResourceUsage, OneMemberIsNoBaseline) {
  Report(0, 600, 70000);
  Report(1, 300, 30000);
  EXPECT_FALSE(Find());
}

}  // namespace
}  // namespace copperpoint::rollout
