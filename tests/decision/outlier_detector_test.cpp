// SPDX-License-Identifier: Apache-2.0
//
// The rules of outlier detection, for one backend that fails and one that doesn't.
#include "decision/outlier_detector.h"

#include <gtest/gtest.h>

namespace copperpoint {
namespace {

constexpr TimePoint kNow{Duration(1e6)};

class OutlierDetectorTest : public ::testing::Test {
 protected:
  OutlierDetectorTest() { detector_.OnReadyChanged(4, 0); }
  bool Fail(BackendHealth& health) {
    return detector_.OnOutcome(health, /*ready=*/true, false, kNow, random_);
  }
  void Succeed(BackendHealth& health, int times) {
    for (int i = 0; i < times; ++i) EXPECT_FALSE(detector_.OnOutcome(health, true, true, kNow, random_));
  }
  OutlierDetector detector_;
  Random random_{1};
  BackendHealth good_, bad_;
};

TEST_F(OutlierDetectorTest, EjectsBackendWhenAllOfItsAttemptsFail) {
  Succeed(good_, 5);
  EXPECT_FALSE(Fail(bad_));
  EXPECT_FALSE(Fail(bad_));
  EXPECT_TRUE(Fail(bad_)) << "the third attempt reaches the request volume";
  EXPECT_TRUE(bad_.ejected);
  EXPECT_EQ(bad_.ejected_until, kNow + OutlierDetector::kBaseEjectionTime);
  EXPECT_EQ(detector_.next_return_at(), bad_.ejected_until);
}

TEST_F(OutlierDetectorTest, DoesNotEjectWithoutAnotherBackendToCompareWith) {
  for (int i = 0; i < 10; ++i) EXPECT_FALSE(Fail(bad_));
}

TEST_F(OutlierDetectorTest, DoesNotEjectWhenTheOthersFailAsOften) {
  for (int i = 0; i < 5; ++i) {
    Fail(good_);
    Succeed(good_, 1);
  }
  EXPECT_FALSE(good_.ejected);
  EXPECT_FALSE(Fail(bad_));
  Succeed(bad_, 2);
  EXPECT_FALSE(Fail(bad_)) << "2 of 4 attempts failed, as half of the attempts at the other backend did";
}

TEST_F(OutlierDetectorTest, DoesNotEjectMoreThanHalfOfTheBackends) {
  Succeed(good_, 20);
  BackendHealth failing[3];
  int ejected = 0;
  for (BackendHealth& health : failing) {
    for (int i = 0; i < 5; ++i) ejected += Fail(health);
  }
  EXPECT_EQ(ejected, 2) << "half of the 4 backends";
}

TEST_F(OutlierDetectorTest, ReturnsBackendWhenItsTimeIsOverAndEjectsLongerTheNextTime) {
  Succeed(good_, 5);
  while (!Fail(bad_)) continue;
  EXPECT_FALSE(detector_.ReturnIfDue(bad_, true, bad_.ejected_until - Duration(1)));
  OutlierDetector::EndInterval(bad_);
  EXPECT_EQ(bad_.ejection_multiplier, 1) << "the multiplier doesn't fall while the backend is ejected";
  EXPECT_TRUE(detector_.ReturnIfDue(bad_, true, bad_.ejected_until));
  EXPECT_EQ(bad_.ejection_multiplier, 0);
  bad_.ejection_multiplier = 2;
  while (!Fail(bad_)) continue;
  EXPECT_EQ(bad_.ejected_until, kNow + OutlierDetector::kBaseEjectionTime * 3);
}

TEST_F(OutlierDetectorTest, RestoresAnEjectionForAtMostTheMaximumTime) {
  BackendSnapshot snapshot;
  snapshot.ejection_multiplier = 3;
  snapshot.ejection_remaining = Duration(1e9);
  detector_.Restore(bad_, true, snapshot, kNow);
  EXPECT_TRUE(bad_.ejected);
  EXPECT_EQ(bad_.ejection_multiplier, 3);
  EXPECT_EQ(bad_.ejected_until, kNow + OutlierDetector::kMaxEjectionTime);
}

TEST_F(OutlierDetectorTest, NeedsFewerAttemptsAtLowTraffic) {
  detector_.FitInterval(/*requests_per_s=*/2, /*backends=*/4);
  ASSERT_TRUE(detector_.low_traffic());
  Succeed(good_, 5);
  EXPECT_FALSE(Fail(bad_));
  EXPECT_TRUE(Fail(bad_)) << "two failures are unlikely to be chance if hardly anything fails elsewhere";
  detector_.FitInterval(1000, 4);
  EXPECT_FALSE(detector_.low_traffic());
}

TEST_F(OutlierDetectorTest, EndsAnIntervalOnceEachTwoSeconds) {
  EXPECT_TRUE(detector_.TakeIntervalEnd(kNow));
  EXPECT_FALSE(detector_.TakeIntervalEnd(kNow + Duration(1999)));
  EXPECT_TRUE(detector_.TakeIntervalEnd(kNow + Duration(2000)));
}

}  // namespace
}  // namespace copperpoint
