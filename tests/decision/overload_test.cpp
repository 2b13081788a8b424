// SPDX-License-Identifier: Apache-2.0
//
// Who comes again, and who goes first, when not all can be served.
#include <gtest/gtest.h>

#include "copperpoint/balancer.h"
#include "decision/client_retry_detector.h"
#include "decision/overload_monitor.h"
#include "decision/request_priority.h"
#include "support/balancer_fixture.h"

namespace copperpoint {
namespace {

using copperpoint::testing::At;
using copperpoint::testing::Class;
using copperpoint::testing::Rig;
using copperpoint::testing::Usual;

RequestReceived Asking(int cls, int tenant, std::uint64_t key, double work) {
  RequestReceived submit;
  submit.request_class = cls;
  submit.tenant = tenant;
  submit.key = key;
  submit.has_work_estimate = work > 0;
  submit.estimated_work_ms = work;
  return submit;
}

TEST(Fingerprint, IsOfWhatATryHasInCommonWithTheNext) {
  const RequestReceived one = Asking(1, 2, 3, 4.5);
  RequestReceived again = one;
  again.request = 99;
  again.deadline = At(7);
  EXPECT_EQ(FingerprintOf(one), FingerprintOf(again));
  for (const RequestReceived& other :
       {Asking(0, 2, 3, 4.5), Asking(1, 0, 3, 4.5), Asking(1, 2, 0, 4.5), Asking(1, 2, 3, 4.25)})
    EXPECT_NE(FingerprintOf(one), FingerprintOf(other));
  EXPECT_EQ(FingerprintOf(Asking(1, 2, 0, 0)), 0u) << "class and account alone name nobody";
  EXPECT_NE(FingerprintOf(Asking(1, 2, 3, 0)), 0u);
}

TEST(ClientRetryDetector, ATryAfterOneThatEndedUnservedBelongsToItsWish) {
  ClientRetryDetector repeats;
  LogicalRequest wish = repeats.OnReceived(7, At(100));
  EXPECT_EQ(wish.client_attempts, 1);
  repeats.OnUnserved(7, wish, At(1000));
  wish = repeats.OnReceived(7, At(300));
  EXPECT_EQ(wish.client_attempts, 2);
  EXPECT_EQ(wish.first_received, At(100));
  wish.within_quota = false;
  repeats.OnUnserved(7, wish, At(1000));
  wish = repeats.OnReceived(7, At(500));
  EXPECT_FALSE(wish.within_quota) << "a repeat takes no second place in its account's share";
  EXPECT_EQ(wish.client_attempts, 3);
  EXPECT_EQ(wish.first_received, At(100));
}

TEST(ClientRetryDetector, NobodyReturnsAfterTheDeadlineOrTwiceForOneTry) {
  ClientRetryDetector repeats;
  repeats.OnUnserved(7, repeats.OnReceived(7, At(0)), At(1000));
  EXPECT_EQ(repeats.OnReceived(7, At(1000)).client_attempts, 1);
  repeats.OnUnserved(8, repeats.OnReceived(8, At(0)), At(1000));
  EXPECT_EQ(repeats.OnReceived(8, At(1)).client_attempts, 2);
  EXPECT_EQ(repeats.OnReceived(8, At(2)).client_attempts, 1);
  EXPECT_EQ(repeats.OnReceived(0, At(0)).client_attempts, 1);
}

// A constant hint, or a popular key without one: whoever comes next may be anybody.
TEST(ClientRetryDetector, WhatSeveralShareNamesNoneOfThem) {
  ClientRetryDetector repeats;
  const LogicalRequest one = repeats.OnReceived(7, At(0));
  const LogicalRequest other = repeats.OnReceived(7, At(1));
  repeats.OnUnserved(7, one, At(1000));
  repeats.OnUnserved(7, other, At(1000));
  EXPECT_EQ(repeats.OnReceived(7, At(10)).client_attempts, 1);

  repeats.OnReceived(8, At(0));
  repeats.OnServed(8, At(500));
  repeats.OnUnserved(8, repeats.OnReceived(8, At(100)), At(1100));
  EXPECT_EQ(repeats.OnReceived(8, At(200)).client_attempts, 1) << "one like it was served a moment ago";
}

TEST(ClientRetryDetector, MemoryIsBoundedAndGivenBack) {
  ClientRetryDetector repeats;
  for (std::uint64_t f = 1; f <= ClientRetryDetector::kMaxFingerprints + 100; ++f) {
    const LogicalRequest wish = repeats.OnReceived(f, At(0));
    repeats.OnUnserved(f, wish, At(1000));
  }
  EXPECT_EQ(repeats.size(), ClientRetryDetector::kMaxFingerprints);
  EXPECT_EQ(repeats.OnReceived(5, At(10)).client_attempts, 2);
  repeats.OnServed(5, At(900));
  repeats.OnReceived(0, At(2000));
  EXPECT_EQ(repeats.size(), 0u);
}

Settings Judged(ServiceObjective goal) {
  Settings s = Usual();
  s.classes = {Class(Idempotency::kIdempotent), Class(Idempotency::kNonIdempotent)};
  s.classes[0].priority_weight = 5;
  s.classes[1].priority_weight = 3;
  s.tenants = {{100}, {100}};
  s.service_objective = goal;
  return s;
}

TEST(RequestPriority, IsTheWorthWhereNothingElseIsAskedFor) {
  RequestPriority priority(Judged({1, 0, 0}));
  priority.OnOffered(1, 0, 100, true);
  EXPECT_DOUBLE_EQ(priority.PriorityOf(0, 0), 5);
  EXPECT_DOUBLE_EQ(priority.PriorityOf(1, 0), 3);
  EXPECT_EQ(priority.PriorityOf(7, 0), 0);
  EXPECT_DOUBLE_EQ(priority.PriorityOf(0, -1), 5);
}

TEST(RequestPriority, TheWorstServedClassRisesBySoMuchAsTheGoalGainsByIt) {
  RequestPriority priority(Judged({0.5, 0.35, 0}));
  priority.OnOffered(0, 0, 70, true);       // 350 of worth
  priority.OnOffered(1, 0, 50, true);       // 150
  priority.OnServedInTime(0, 0, 70, true);  // all
  priority.OnServedInTime(1, 0, 25, true);  // half
  EXPECT_DOUBLE_EQ(priority.PriorityOf(0, 0), 5 * 0.5);
  EXPECT_DOUBLE_EQ(priority.PriorityOf(1, 0), 3 * (0.5 + 0.35 * 500 / 150));
  EXPECT_GT(priority.PriorityOf(1, 0), priority.PriorityOf(0, 0));
  priority.OnServedInTime(1, 0, 25, true);
  priority.OnOffered(0, 0, 70, true);  // now this one is at half
  EXPECT_GT(priority.PriorityOf(0, 0), priority.PriorityOf(1, 0));
}

TEST(RequestPriority, WhatIsBeyondItsShareDoesNotRaiseAnAccount) {
  RequestPriority priority(Judged({0.5, 0, 0.5}));
  priority.OnOffered(0, 0, 10, true);
  priority.OnServedInTime(0, 0, 10, true);
  priority.OnOffered(0, 1, 10, true);
  priority.OnServedInTime(0, 1, 9, true);
  EXPECT_GT(priority.PriorityOf(0, 1), priority.PriorityOf(0, 0));
  RequestPriority beyond(Judged({0.5, 0, 0.5}));
  beyond.OnOffered(0, 0, 10, true);
  beyond.OnServedInTime(0, 0, 9, true);
  beyond.OnOffered(0, 1, 1000, false);
  EXPECT_GT(beyond.PriorityOf(0, 0), beyond.PriorityOf(0, 1))
      << "the storm of one account moves no other aside";
}

TEST(RequestPriority, SharesAreForgotten) {
  RequestPriority priority(Judged({0.5, 0.5, 0}));
  priority.OnOffered(0, 0, 1000, true);
  priority.OnServedInTime(0, 0, 1000, true);
  priority.OnOffered(1, 0, 1000, true);
  priority.Decay(RequestPriority::kMemory * 20);
  priority.OnOffered(0, 0, 1, true);
  priority.OnOffered(1, 0, 1, true);
  priority.OnServedInTime(1, 0, 1, true);
  EXPECT_GT(priority.PriorityOf(0, 0), priority.PriorityOf(1, 0));
}

// Feeds a state with rates a second, and notes what it became, and when.
class Judged10Hz {
 public:
  void For(double seconds, double arrived, double repeats, double refused) {
    for (int i = 0; i < static_cast<int>(seconds * 10 + 0.5); ++i) {
      now_ += 100;
      const OverloadCounts counts{arrived / 10, repeats / 10, refused / 10, (arrived - refused) / 10};
      if (const auto next = state.Update(At(now_), Duration(100), counts)) changes.push_back(*next);
    }
  }
  OverloadMonitor state;
  std::vector<OverloadState> changes;

 private:
  double now_ = 0;
};

using enum OverloadState;

TEST(OverloadMonitor, ASurgeOfRealDemandIsNoStorm) {
  Judged10Hz s;
  s.For(10, 200, 0, 0);
  s.For(10, 400, 20, 150);
  s.For(10, 200, 0, 0);
  EXPECT_EQ(s.changes, (std::vector{kSurge, kCalm}));
}

TEST(OverloadMonitor, AStormIsFollowedByRecoveryBeforeCalm) {
  Judged10Hz s;
  s.For(10, 200, 0, 0);
  s.For(10, 600, 300, 400);
  EXPECT_EQ(s.state.state(), kStorm);
  s.For(5, 200, 0, 0);
  EXPECT_EQ(s.state.state(), kRecovery);
  s.For(10, 200, 0, 0);
  EXPECT_EQ(s.changes.back(), kCalm);
  EXPECT_EQ(s.changes[s.changes.size() - 2], kRecovery);
}

TEST(OverloadMonitor, WhereNobodyIsAnsweredItIsAStormWhoeverAsks) {
  Judged10Hz s;
  s.For(5, 200, 0, 200);
  EXPECT_EQ(s.state.state(), kStorm);
}

TEST(OverloadMonitor, ATrickleUnderTheFloorAndASpellShorterThanItsSignsChangeNothing) {
  Judged10Hz s;
  s.For(30, 200, 9, 9);
  for (int i = 0; i < 10; ++i) {
    s.For(0.1, 200, 60, 60);
    s.For(3, 200, 0, 0);
  }
  EXPECT_TRUE(s.changes.empty());
}

TEST(OverloadMonitor, DoesNotFlapWhileItsSignsComeAndGo) {
  Judged10Hz s;
  s.For(5, 400, 0, 200);
  for (int i = 0; i < 20; ++i) {
    s.For(1, 400, 0, 200);
    s.For(1, 200, 0, 0);
  }
  EXPECT_EQ(s.changes, (std::vector{kSurge}));
}

TEST(OverloadMonitor, AStormThatReturnsInTheRecoveryIsAStormAgain) {
  Judged10Hz s;
  s.For(5, 600, 300, 400);
  s.For(5, 200, 0, 0);
  ASSERT_EQ(s.state.state(), kRecovery);
  s.For(3, 600, 300, 400);
  EXPECT_EQ(s.state.state(), kStorm);
}

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
}  // namespace copperpoint
