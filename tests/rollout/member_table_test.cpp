// SPDX-License-Identifier: Apache-2.0
#include "rollout/member_table.h"

#include <gtest/gtest.h>

#include <vector>

#include "rollout_testing.h"

namespace copperpoint::rollout {
namespace {

constexpr std::uint64_t kRollout = 7;

wire::MemberReport MakeReport(const std::string& version, std::uint64_t incarnation,
                              std::uint64_t requests = 0) {
  wire::MemberReport report;
  report.set_version(version);
  report.set_ready(true);
  report.set_incarnation(incarnation);
  wire::Stratum& stratum = *report.add_strata();
  stratum.set_requests(requests);
  stratum.set_missed(requests / 10);
  stratum.set_attempts(requests);
  stratum.add_latency_buckets(static_cast<std::uint32_t>(requests));
  report.set_cpu_us(requests * 100);
  return report;
}

TEST(MemberTable, ContactEndsAfterTheContactTime) {
  MemberTable members("v2", 3);
  EXPECT_FALSE(members.HasContact(Millis(0), 0));
  members.OnReport(Millis(1000), 0, kRollout, MakeReport("v1", 1));
  EXPECT_TRUE(members.HasContact(Millis(3500), 0));
  EXPECT_FALSE(members.HasContact(Millis(3501), 0));
}

TEST(MemberTable, LateAnswerToAnEarlierRequestDoesNotShortenContact) {
  MemberTable members("v2", 1);
  members.OnReport(Millis(2000), 0, kRollout, MakeReport("v1", 1));
  members.OnReport(Millis(1000), 0, kRollout, MakeReport("v1", 1));
  EXPECT_EQ(members[0].last_contact, Millis(2000));
}

TEST(MemberTable, MajorityIsOfMembersInThisRolloutWithContact) {
  MemberTable members("v2", 4);
  for (const int rank : {0, 1}) members.OnReport(Millis(0), rank, kRollout, MakeReport("v1", 1));
  members.OnReport(Millis(0), 2, kRollout + 1, MakeReport("v1", 1));
  EXPECT_EQ(members.CountParticipants(Millis(0), kRollout), 2);
  EXPECT_FALSE(members.HasMajority(Millis(0), kRollout));
  members.OnReport(Millis(0), 2, kRollout, MakeReport("v1", 1));
  EXPECT_TRUE(members.HasMajority(Millis(0), kRollout));
  EXPECT_FALSE(members.HasMajority(Millis(2501), kRollout));
}

TEST(MemberTable, UpgradedIsReadyAtTheNewVersion) {
  MemberTable members("v2", 1);
  wire::MemberReport report = MakeReport("v2", 1);
  report.set_ready(false);
  members.OnReport(Millis(0), 0, kRollout, report);
  EXPECT_FALSE(members.IsUpgraded(0));
  members.OnReport(Millis(0), 0, kRollout, MakeReport("v2", 1));
  EXPECT_TRUE(members.IsUpgraded(0));
  members.OnReport(Millis(0), 0, kRollout, report);
  EXPECT_FALSE(members.IsUpgraded(0));
  EXPECT_TRUE(members[0].was_upgraded);
}

TEST(MemberTable, AdmissionKeepsItsFirstTime) {
  MemberTable members("v2", 2);
  members.OnAdmitted(Millis(5), 1);
  members.OnAdmitted(Millis(9), 5);
  EXPECT_EQ(members[0].admitted_at, Millis(5));
  EXPECT_EQ(members[1].admitted_at, Millis(9));
}

TEST(MemberTable, IncreaseIsSinceTheLastCall) {
  MemberTable members("v2", 1);
  members.OnReport(Millis(0), 0, kRollout, MakeReport("v1", 1, 100));
  EXPECT_TRUE(members.TakeIncrease(0).empty());  // Counts before the first report are left out.
  members.OnReport(Millis(0), 0, kRollout, MakeReport("v1", 1, 150));
  const std::vector<wire::Stratum> increase = members.TakeIncrease(0);
  ASSERT_EQ(increase.size(), 1u);
  EXPECT_EQ(increase[0].requests(), 50u);
  EXPECT_EQ(increase[0].missed(), 5u);
  EXPECT_EQ(increase[0].latency_buckets(0), 50u);
  EXPECT_TRUE(members.TakeIncrease(0).empty());
}

TEST(MemberTable, NewProcessCountsFromItsOwnStart) {
  MemberTable members("v2", 1);
  members.OnReport(Millis(0), 0, kRollout, MakeReport("v1", 1, 100));
  members.OnReport(Millis(0), 0, kRollout, MakeReport("v2", 2, 10));
  EXPECT_TRUE(members.TakeIncrease(0).empty());
  members.OnReport(Millis(0), 0, kRollout, MakeReport("v2", 2, 30));
  EXPECT_EQ(members.TakeIncrease(0).at(0).requests(), 20u);
  EXPECT_EQ(members[0].requests, 20u);
}

TEST(MemberTable, BakeTimeStartsItsCountsAtZero) {
  MemberTable members("v2", 1);
  members.OnReport(Millis(0), 0, kRollout, MakeReport("v2", 1, 100));
  members.OnReport(Millis(0), 0, kRollout, MakeReport("v2", 1, 400));
  EXPECT_EQ(members[0].requests, 300u);
  members.StartBakeTime();
  EXPECT_TRUE(members.TakeIncrease(0).empty());
  members.OnReport(Millis(0), 0, kRollout, MakeReport("v2", 1, 450));
  EXPECT_EQ(members[0].requests, 50u);
  EXPECT_EQ(members[0].processor_us, 5000u);
  EXPECT_EQ(members.TakeIncrease(0).at(0).requests(), 50u);
}

TEST(MemberTable, CrashesAreOfTheNewVersionOrSinceTheFirstReport) {
  MemberTable members("v2", 1);
  wire::MemberReport report = MakeReport("v1", 1);
  report.set_crashes(4);
  members.OnReport(Millis(0), 0, kRollout, report);
  EXPECT_EQ(members[0].crashes, 0u);
  report.set_crashes(5);
  members.OnReport(Millis(0), 0, kRollout, report);
  EXPECT_EQ(members[0].crashes, 1u);
  report.set_version("v2");
  report.set_crashes(2);
  members.OnReport(Millis(0), 0, kRollout, report);
  EXPECT_EQ(members[0].crashes, 2u);
}

}  // namespace
}  // namespace copperpoint::rollout
