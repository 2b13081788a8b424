// SPDX-License-Identifier: Apache-2.0
//
// Events that are malformed, and settings at their extremes.
#include <gtest/gtest.h>

#include <limits>

#include "support/balancer_fixture.h"

namespace copperpoint::testing {
namespace {

TEST(BadInput, IsIgnoredOrRefused) {
  const double inf = std::numeric_limits<double>::infinity(), nan = std::numeric_limits<double>::quiet_NaN();
  Rig rig;
  EXPECT_FALSE(rig.Ask(1, 0).has_value()) << "no list yet: held";
  rig.List({});
  rig.End(77, 0, 1, AttemptOutcome::kSuccess);
  rig.Do(ClientDisconnected{77});
  rig.Do(ResponseStarted{77, 0});
  rig.Servers(1);
  EXPECT_EQ(rig.SentTo(1), BackendId{1}) << "held ones go once a server is listed";
  rig.End(1, 9, 1, AttemptOutcome::kSuccess);
  rig.End(1, -1, 1, AttemptOutcome::kSuccess);
  rig.Ask(1, 0);
  EXPECT_FALSE(rig.SentTo(1).has_value()) << "a duplicate id";
  rig.Ask(2, 99);
  EXPECT_EQ(rig.Count<RejectRequest>(), 1) << "an unknown class";
  rig.Ask(3, 0, 10, -50);
  EXPECT_EQ(rig.Count<RejectRequest>(), 1) << "due in the past";
  for (double work : {0.0, -5.0, inf, nan, 1e300}) {
    const RequestId id = 100 + next_id++;
    RequestReceived s;
    s.request = id;
    s.deadline = At(rig.now + 500);
    s.has_work_estimate = true;
    s.estimated_work_ms = work;
    s.tenant = 4000;
    rig.Do(s);
    ASSERT_TRUE(rig.SentTo(id).has_value()) << work;
    AttemptCompleted e;
    e.request = id;
    e.backend = 1;
    e.outcome = AttemptOutcome::kSuccess;
    e.request_completed = true;
    e.duration = Duration(nan);
    rig.Do(e);
  }
  EXPECT_TRUE(rig.Ask(next_id + 1000, 0).has_value());
}

TEST(Odd, AThousandServersAndNoHints) {
  Settings settings = Usual();
  settings.proxy_count = 3000;
  settings.proxy_index = 2999;
  Rig rig(settings);
  rig.Servers(1000);
  for (int i = 0; i < 100; ++i) {
    const RequestId id = next_id++;
    const auto s = rig.Ask(id, i % 3, 0, 900);
    ASSERT_TRUE(s.has_value());
    rig.End(id, 0, *s, AttemptOutcome::kSuccess);
    rig.Tick(200);
  }
}

}  // namespace
}  // namespace copperpoint::testing
