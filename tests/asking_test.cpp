// SPDX-License-Identifier: Apache-2.0
//
// When discovery is asked again: a change counts as told 6 s after discovery had it and could be reached.
#include "decision/asking.h"

#include <gtest/gtest.h>

namespace copperpoint {
namespace {

TEST(Asking, AfterAnyNumberOfFailuresTheNextCallComesWithinASecond) {
  for (const double within_ms : {2000.0, 10000.0, 60000.0, 600000.0}) {
    Random random(7);
    Asking asking{Duration(within_ms)};
    TimePoint now{Duration(1e9)};
    asking.Heard(EndpointUpdateKind::kCached, now, random);
    EXPECT_TRUE(asking.Due(now));
    for (int failure = 0; failure < 20; ++failure) {
      asking.Heard(EndpointUpdateKind::kFailed, now, random);
      EXPECT_GT(asking.at(), now) << "not at once, over and over";
      EXPECT_LE(asking.at(), now + Duration(1000));
      now = asking.at();
      EXPECT_TRUE(asking.Due(now));
    }
  }
}

TEST(Asking, ACallThatIsNeverAnsweredIsMadeAgainInTimeForTheBound) {
  Random random(7);
  Asking asking{Duration(600000)};
  const TimePoint now{Duration(1e9)};
  asking.Heard(EndpointUpdateKind::kCached, now, random);
  EXPECT_TRUE(asking.Due(now));
  EXPECT_FALSE(asking.Due(now + Duration(1000)));
  EXPECT_TRUE(asking.Due(now + Duration(5000)));
}

TEST(Asking, WhatIsHeardEndsTheAsking) {
  Random random(7);
  Asking asking{Duration(10000)};
  const TimePoint now{Duration(1e9)};
  asking.Heard(EndpointUpdateKind::kCached, now, random);
  EXPECT_TRUE(asking.Due(now));
  asking.Heard(EndpointUpdateKind::kIncremental, now, random);
  EXPECT_FALSE(asking.Due(now + Duration(1e6)));
}

}  // namespace
}  // namespace copperpoint
