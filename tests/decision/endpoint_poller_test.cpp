// SPDX-License-Identifier: Apache-2.0
//
// When discovery is polled. If discovery can be reached, the list has to be up to date 6 s after a change;
// backoff after failures and the wait for an answer must not delay it for longer.
#include "decision/endpoint_poller.h"

#include <gtest/gtest.h>

namespace copperpoint {
namespace {

TEST(EndpointPoller, PollsWithinASecondAfterAnyNumberOfFailures) {
  for (const double max_interval_ms : {2000.0, 10000.0, 60000.0, 600000.0}) {
    Random random(7);
    EndpointPoller poller{Duration(max_interval_ms)};
    TimePoint now{Duration(1e9)};
    poller.OnUpdate(EndpointUpdateKind::kCached, now, random);
    EXPECT_TRUE(poller.TakeDuePoll(now));
    for (int failure = 0; failure < 20; ++failure) {
      poller.OnUpdate(EndpointUpdateKind::kFailed, now, random);
      EXPECT_GT(poller.next_poll_at(), now) << "a failure must not be followed by a poll at once";
      EXPECT_LE(poller.next_poll_at(), now + Duration(1000));
      now = poller.next_poll_at();
      EXPECT_TRUE(poller.TakeDuePoll(now));
    }
  }
}

TEST(EndpointPoller, PollsAgainWithinFiveSecondsWithoutAnAnswer) {
  Random random(7);
  EndpointPoller poller{Duration(600000)};
  const TimePoint now{Duration(1e9)};
  poller.OnUpdate(EndpointUpdateKind::kCached, now, random);
  EXPECT_TRUE(poller.TakeDuePoll(now));
  EXPECT_FALSE(poller.TakeDuePoll(now + Duration(1000)));
  EXPECT_TRUE(poller.TakeDuePoll(now + Duration(5000)));
}

TEST(EndpointPoller, StopsPollingAfterAnUpdate) {
  Random random(7);
  EndpointPoller poller{Duration(10000)};
  const TimePoint now{Duration(1e9)};
  poller.OnUpdate(EndpointUpdateKind::kCached, now, random);
  EXPECT_TRUE(poller.TakeDuePoll(now));
  poller.OnUpdate(EndpointUpdateKind::kIncremental, now, random);
  EXPECT_FALSE(poller.TakeDuePoll(now + Duration(1e6)));
}

// A list of the other process of this proxy arrives: a call that waits at discovery must not be made anew,
// and one that is due must not be dropped.
TEST(EndpointPoller, HandedOverListNeitherRepeatsNorEndsAPoll) {
  Random random(7);
  EndpointPoller poller{Duration(600000)};
  const TimePoint now{Duration(1e9)};
  poller.OnUpdate(EndpointUpdateKind::kCached, now, random);
  poller.OnUpdate(EndpointUpdateKind::kHandedOver, now, random);
  EXPECT_TRUE(poller.TakeDuePoll(now));
  poller.OnUpdate(EndpointUpdateKind::kHandedOver, now, random);
  EXPECT_FALSE(poller.TakeDuePoll(now + Duration(1000)));
  EXPECT_TRUE(poller.TakeDuePoll(now + Duration(5000)));
}

// An operator disables a backend while a poll is due after a failure.
TEST(EndpointPoller, OperatorsChangeDoesNotEndThePolls) {
  Random random(7);
  EndpointPoller poller{Duration(10000)};
  const TimePoint now{Duration(1e9)};
  poller.OnUpdate(EndpointUpdateKind::kFailed, now, random);
  const TimePoint due = poller.next_poll_at();
  poller.OnUpdate(EndpointUpdateKind::kOperator, now, random);
  EXPECT_EQ(poller.next_poll_at(), due);
  poller.OnUpdate(EndpointUpdateKind::kFailed, now, random);
  EXPECT_GT(poller.next_poll_at() - now, Duration(500)) << "the backoff goes on";
  EXPECT_TRUE(poller.TakeDuePoll(poller.next_poll_at()));
}

}  // namespace
}  // namespace copperpoint
