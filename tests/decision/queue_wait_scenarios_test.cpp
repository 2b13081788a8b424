// SPDX-License-Identifier: Apache-2.0
//
// How long a request waits at a proxy that is at its limit.
#include <gtest/gtest.h>

#include "support/balancer_fixture.h"

namespace copperpoint::testing {
namespace {

// Two are out, the proxy's limit; what comes then has to wait.
class Crowded : public ::testing::Test {
 protected:
  Crowded() : rig_(Limited()) {
    rig_.Servers(1);
    for (RequestId id : {1u, 2u}) EXPECT_TRUE(rig_.Ask(id, 0, 10 + static_cast<double>(id), 900).has_value());
  }
  static Settings Limited() {
    Settings s = Usual();
    s.proxy_count = 2;
    s.max_retry_after = Duration(800);
    return s;
  }
  const RejectRequest* Refused(RequestId id) {
    for (const Action& a : rig_.actions) {
      const auto* refuse = std::get_if<RejectRequest>(&a);
      if (refuse && refuse->request == id) return refuse;
    }
    return nullptr;
  }
  Rig rig_;
};

TEST_F(Crowded, WhoComesAgainWhenItsAimHasPassedIsRefusedAtOnceAndToldToStayAway) {
  rig_.Ask(10, 0, 5, 900);
  rig_.End(1, 0, 1, AttemptOutcome::kSuccess, 20);  // somebody is answered: a crowd, no silence
  EXPECT_TRUE(rig_.SentTo(10).has_value());
  rig_.Ask(11, 0, 6, 900);
  rig_.Tick(5);
  rig_.End(2, 0, 1, AttemptOutcome::kSuccess, 20);
  rig_.Ask(12, 0, 7, 900);
  rig_.Tick(5);
  rig_.Ask(13, 0, 8, 900);
  rig_.Tick(250);  // 12 and 13 have been refused long since; the aim is 200
  rig_.End(10, 0, 1, AttemptOutcome::kSuccess, 20);
  rig_.End(11, 0, 1, AttemptOutcome::kSuccess, 20);
  EXPECT_TRUE(rig_.Ask(20, 0, 4, 900).has_value()) << "there is room for others";
  EXPECT_FALSE(rig_.Ask(22, 0, 8, 900).has_value()) << "but not for 13 anew";
  const RejectRequest* refuse = Refused(22);
  ASSERT_NE(refuse, nullptr);
  EXPECT_LE(refuse->retry_after, Duration(800));
  EXPECT_GE(refuse->retry_after, Duration(0.9 * 800));
}

TEST_F(Crowded, WhileSomeAreAnsweredAPlaceIsWaitedForBrieflyAndInASilenceForLonger) {
  rig_.Ask(10, 0, 5, 900);
  rig_.Tick(1);
  rig_.Ask(11, 0, 6, 900);
  rig_.Tick(30);
  EXPECT_EQ(Refused(10), nullptr) << "nobody was answered since: a silence";
  rig_.Tick(1);
  rig_.End(1, 0, 1, AttemptOutcome::kSuccess, 20);
  EXPECT_TRUE(rig_.SentTo(10).has_value());
  // As many more as there is room for, and a few that wait.
  RequestId last = 12;
  for (int waiting = 0; waiting < 8; ++last) waiting += !rig_.Ask(last, 0, static_cast<double>(last), 900);
  rig_.Tick(1);
  rig_.End(2, 0, 1, AttemptOutcome::kSuccess, 20);
  const RequestId newest = last - 1;
  ASSERT_FALSE(rig_.SentTo(newest).has_value()) << "older ones are before it";
  rig_.Tick(30);  // more than 0.08 of the aim
  EXPECT_NE(Refused(newest), nullptr);
}

}  // namespace
}  // namespace copperpoint::testing
