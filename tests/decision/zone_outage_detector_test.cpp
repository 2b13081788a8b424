// SPDX-License-Identifier: Apache-2.0
//
// When a zone is taken out of service, and when it returns.
#include "decision/zone_outage_detector.h"

#include <gtest/gtest.h>

namespace copperpoint {
namespace {

constexpr int kZone = 1, kOtherZone = 2;
TimePoint At(double ms) { return TimePoint{Duration(1e6 + ms)}; }

class ZoneOutageDetectorTest : public ::testing::Test {
 protected:
  ZoneOutageDetector detector_;
  Random random_{1};
};

TEST_F(ZoneOutageDetectorTest, TakesZoneOutWhenSeveralBackendsLeaveThreeAttemptsUnanswered) {
  EXPECT_FALSE(detector_.OnNoAnswer(kZone, 1, At(0), random_));
  detector_.OnAnswer(kOtherZone, At(1));
  EXPECT_FALSE(detector_.OnNoAnswer(kZone, 2, At(2), random_));
  EXPECT_TRUE(detector_.OnNoAnswer(kZone, 1, At(3), random_));
  EXPECT_TRUE(detector_.InOutage(kZone, At(4)));
  EXPECT_FALSE(detector_.InOutage(kOtherZone, At(4)));
  EXPECT_FALSE(detector_.InOutage(kZone, At(3 + 2500)))
      << "an outage lasts at most 1.25 times the base ejection time";
}

TEST_F(ZoneOutageDetectorTest, IgnoresOneBackendThatDoesNotAnswer) {
  detector_.OnNoAnswer(kZone, 1, At(0), random_);
  detector_.OnAnswer(kOtherZone, At(1));
  for (int i = 0; i < 10; ++i) EXPECT_FALSE(detector_.OnNoAnswer(kZone, 1, At(2 + i), random_));
}

TEST_F(ZoneOutageDetectorTest, IgnoresAnInterruptionOfAllZones) {
  detector_.OnAnswer(kOtherZone, At(0));
  for (int i = 0; i < 10; ++i) EXPECT_FALSE(detector_.OnNoAnswer(kZone, i, At(1 + i), random_));
}

TEST_F(ZoneOutageDetectorTest, AnAnswerEndsTheOutageAtOnce) {
  detector_.OnNoAnswer(kZone, 1, At(0), random_);
  detector_.OnAnswer(kOtherZone, At(1));
  detector_.OnNoAnswer(kZone, 2, At(2), random_);
  ASSERT_TRUE(detector_.OnNoAnswer(kZone, 3, At(3), random_));
  detector_.OnAnswer(kZone, At(10));
  EXPECT_FALSE(detector_.InOutage(kZone, At(10)));
  EXPECT_EQ(detector_.next_return_at(), At(10));
  EXPECT_EQ(detector_.LastAnswer(kZone), At(10));
}

}  // namespace
}  // namespace copperpoint
