// SPDX-License-Identifier: Apache-2.0
//
// Tests of when a suspect is declared dead.
#include "membership/suspicion_table.h"

#include <gtest/gtest.h>

namespace copperpoint::testing {
namespace {

using membership::Suspicion;
using membership::SuspicionTable;
using membership::Time;
using std::chrono::milliseconds;

constexpr int kSuspect = 3;          // the suspect's index in the member table
constexpr std::size_t kHealthy = 5;  // the number of members that are not suspected

class SuspicionTableTest : public ::testing::Test {
 protected:
  // Starts a suspicion since `since_`, of which this member is a confirmer.
  Suspicion& Start(std::initializer_list<const char*> accusers) {
    Suspicion& suspicion = table_.Start(kSuspect, 1, since_);
    for (const char* accuser : accusers) SuspicionTable::AddAccuser(suspicion, accuser);
    SuspicionTable::MakeConfirmer(suspicion, since_);
    return suspicion;
  }
  // Returns whether the suspect has failed `after` that time, with the last contact at `since_`.
  bool HasFailed(const Suspicion& suspicion, Time after) const {
    return table_.HasFailed(suspicion, since_, kHealthy, since_ + after);
  }

  membership::Options options_;
  SuspicionTable table_{options_};
  const Time since_ = std::chrono::seconds(100);
};

TEST_F(SuspicionTableTest, TwoAccusersConfirmADeathAfterTheContactTimeout) {
  const Suspicion& suspicion = Start({"a", "b"});
  EXPECT_FALSE(HasFailed(suspicion, options_.contact_timeout - Time(1)));
  EXPECT_TRUE(HasFailed(suspicion, options_.contact_timeout));
}

TEST_F(SuspicionTableTest, OneAccuserAloneWaitsForTheMaximum) {
  const Suspicion& suspicion = Start({"a"});
  const Time max = options_.max_suspicion_factor * options_.contact_timeout;
  EXPECT_FALSE(HasFailed(suspicion, max - Time(1)));
  EXPECT_TRUE(HasFailed(suspicion, max));
}

TEST_F(SuspicionTableTest, OneAccuserIsEnoughWhereNoOtherMemberIsHealthy) {
  const Suspicion& suspicion = Start({"a"});
  EXPECT_TRUE(table_.HasFailed(suspicion, since_, 1, since_ + options_.contact_timeout));
}

TEST_F(SuspicionTableTest, ContactDelaysTheDeathByTheContactTimeout) {
  const Suspicion& suspicion = Start({"a", "b"});
  const Time contact = since_ + milliseconds(2000);
  EXPECT_FALSE(table_.HasFailed(suspicion, contact, kHealthy, contact + options_.contact_timeout - Time(1)));
  EXPECT_TRUE(table_.HasFailed(suspicion, contact, kHealthy, contact + options_.contact_timeout));
}

TEST_F(SuspicionTableTest, SuspicionLastsForItsMinimum) {
  const Suspicion& suspicion = Start({"a", "b"});
  const Time long_ago = since_ - 2 * options_.contact_timeout;
  EXPECT_FALSE(table_.HasFailed(suspicion, long_ago, kHealthy, since_ + options_.min_suspicion - Time(1)));
  EXPECT_TRUE(table_.HasFailed(suspicion, long_ago, kHealthy, since_ + options_.min_suspicion));
}

TEST_F(SuspicionTableTest, OnlyAConfirmerDecidesAfterFourProbePeriods) {
  Suspicion& suspicion = table_.Start(kSuspect, 1, since_);
  for (const char* accuser : {"a", "b"}) SuspicionTable::AddAccuser(suspicion, accuser);
  const Time late = since_ + std::chrono::minutes(1);
  EXPECT_FALSE(table_.HasFailed(suspicion, since_, kHealthy, late));
  SuspicionTable::MakeConfirmer(suspicion, late);
  const Time decides = late + SuspicionTable::kMinConfirmerPeriods * options_.probe_period;
  EXPECT_FALSE(table_.HasFailed(suspicion, since_, kHealthy, decides - Time(1)));
  EXPECT_TRUE(table_.HasFailed(suspicion, since_, kHealthy, decides));
  SuspicionTable::MakeConfirmer(suspicion, decides);
  EXPECT_EQ(suspicion.confirmer_since, late);
}

TEST_F(SuspicionTableTest, IsOverdueOnlyWhereThisMemberIsNoConfirmer) {
  Suspicion& suspicion = table_.Start(kSuspect, 1, since_);
  const Time overdue = since_ + options_.contact_timeout + options_.min_suspicion;
  EXPECT_FALSE(table_.IsOverdue(suspicion, overdue - Time(1)));
  EXPECT_TRUE(table_.IsOverdue(suspicion, overdue));
  SuspicionTable::MakeConfirmer(suspicion, since_);
  EXPECT_FALSE(table_.IsOverdue(suspicion, overdue));
}

TEST_F(SuspicionTableTest, CountsEachAccuserOnceAndFourAtMost) {
  Suspicion& suspicion = table_.Start(kSuspect, 1, since_);
  EXPECT_EQ(SuspicionTable::AddAccuser(suspicion, "a"), 0);
  EXPECT_EQ(SuspicionTable::AddAccuser(suspicion, "a"), -1);
  EXPECT_EQ(SuspicionTable::AddAccuser(suspicion, "b"), 1);
  EXPECT_EQ(SuspicionTable::AddAccuser(suspicion, "c"), 2);
  EXPECT_EQ(SuspicionTable::AddAccuser(suspicion, "d"), 3);
  EXPECT_EQ(SuspicionTable::AddAccuser(suspicion, "e"), -1);
}

TEST_F(SuspicionTableTest, WithoutSuspicionAMemberHasFailedAtOnce) {
  options_.with_suspicion = false;
  EXPECT_TRUE(table_.HasFailed(table_.Start(kSuspect, 1, since_), since_, kHealthy, since_));
}

TEST_F(SuspicionTableTest, FindsASuspicionUntilItEnds) {
  EXPECT_TRUE(table_.empty());
  table_.Start(kSuspect, 7, since_);
  ASSERT_NE(table_.Find(kSuspect), nullptr);
  EXPECT_EQ(table_.Find(kSuspect)->refutation_number, 7u);
  EXPECT_EQ(table_.Find(kSuspect + 1), nullptr);
  table_.End(kSuspect);
  EXPECT_EQ(table_.Find(kSuspect), nullptr);
}

}  // namespace
}  // namespace copperpoint::testing
