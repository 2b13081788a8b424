// SPDX-License-Identifier: Apache-2.0
//
// Who comes again, and who goes first, when not all can be served.
#include <gtest/gtest.h>

#include "copperpoint/balancer.h"
#include "overload/priority.h"
#include "overload/repeats.h"
#include "overload/state.h"
#include "support/balancer_fixture.h"

namespace copperpoint::overload {
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

TEST(Repeats, ATryAfterOneThatEndedUnservedBelongsToItsWish) {
  Repeats repeats;
  Wish wish = repeats.Arrived(7, At(100));
  EXPECT_EQ(wish.tries, 1);
  repeats.Unserved(7, wish, At(1000));
  wish = repeats.Arrived(7, At(300));
  EXPECT_EQ(wish.tries, 2);
  EXPECT_EQ(wish.since, At(100));
  wish.within_share = false;
  repeats.Unserved(7, wish, At(1000));
  wish = repeats.Arrived(7, At(500));
  EXPECT_FALSE(wish.within_share) << "a repeat takes no second place in its account's share";
  EXPECT_EQ(wish.tries, 3);
  EXPECT_EQ(wish.since, At(100));
}

TEST(Repeats, NobodyReturnsAfterTheDeadlineOrTwiceForOneTry) {
  Repeats repeats;
  repeats.Unserved(7, repeats.Arrived(7, At(0)), At(1000));
  EXPECT_EQ(repeats.Arrived(7, At(1000)).tries, 1);
  repeats.Unserved(8, repeats.Arrived(8, At(0)), At(1000));
  EXPECT_EQ(repeats.Arrived(8, At(1)).tries, 2);
  EXPECT_EQ(repeats.Arrived(8, At(2)).tries, 1);
  EXPECT_EQ(repeats.Arrived(0, At(0)).tries, 1);
}

// A constant hint, or a popular key without one: whoever comes next may be anybody.
TEST(Repeats, WhatSeveralShareNamesNoneOfThem) {
  Repeats repeats;
  const Wish one = repeats.Arrived(7, At(0));
  const Wish other = repeats.Arrived(7, At(1));
  repeats.Unserved(7, one, At(1000));
  repeats.Unserved(7, other, At(1000));
  EXPECT_EQ(repeats.Arrived(7, At(10)).tries, 1);

  repeats.Arrived(8, At(0));
  repeats.Final(8, At(500));
  repeats.Unserved(8, repeats.Arrived(8, At(100)), At(1100));
  EXPECT_EQ(repeats.Arrived(8, At(200)).tries, 1) << "one like it was served a moment ago";
}

TEST(Repeats, MemoryIsBoundedAndGivenBack) {
  Repeats repeats;
  for (std::uint64_t f = 1; f <= Repeats::kMostKept + 100; ++f) {
    const Wish wish = repeats.Arrived(f, At(0));
    repeats.Unserved(f, wish, At(1000));
  }
  EXPECT_EQ(repeats.kept(), Repeats::kMostKept);
  EXPECT_EQ(repeats.Arrived(5, At(10)).tries, 2);
  repeats.Final(5, At(900));
  repeats.Arrived(0, At(2000));
  EXPECT_EQ(repeats.kept(), 0u);
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

TEST(Priority, IsTheWorthWhereNothingElseIsAskedFor) {
  Priority priority(Judged({1, 0, 0}));
  priority.Asked(1, 0, 100, true);
  EXPECT_DOUBLE_EQ(priority.Of(0, 0), 5);
  EXPECT_DOUBLE_EQ(priority.Of(1, 0), 3);
  EXPECT_EQ(priority.Of(7, 0), 0);
  EXPECT_DOUBLE_EQ(priority.Of(0, -1), 5);
}

TEST(Priority, TheWorstServedClassRisesBySoMuchAsTheGoalGainsByIt) {
  Priority priority(Judged({0.5, 0.35, 0}));
  priority.Asked(0, 0, 70, true);   // 350 of worth
  priority.Asked(1, 0, 50, true);   // 150
  priority.InTime(0, 0, 70, true);  // all
  priority.InTime(1, 0, 25, true);  // half
  EXPECT_DOUBLE_EQ(priority.Of(0, 0), 5 * 0.5);
  EXPECT_DOUBLE_EQ(priority.Of(1, 0), 3 * (0.5 + 0.35 * 500 / 150));
  EXPECT_GT(priority.Of(1, 0), priority.Of(0, 0));
  priority.InTime(1, 0, 25, true);
  priority.Asked(0, 0, 70, true);  // now this one is at half
  EXPECT_GT(priority.Of(0, 0), priority.Of(1, 0));
}

TEST(Priority, WhatIsBeyondItsShareDoesNotRaiseAnAccount) {
  Priority priority(Judged({0.5, 0, 0.5}));
  priority.Asked(0, 0, 10, true);
  priority.InTime(0, 0, 10, true);
  priority.Asked(0, 1, 10, true);
  priority.InTime(0, 1, 9, true);
  EXPECT_GT(priority.Of(0, 1), priority.Of(0, 0));
  Priority beyond(Judged({0.5, 0, 0.5}));
  beyond.Asked(0, 0, 10, true);
  beyond.InTime(0, 0, 9, true);
  beyond.Asked(0, 1, 1000, false);
  EXPECT_GT(beyond.Of(0, 0), beyond.Of(0, 1)) << "the storm of one account moves no other aside";
}

TEST(Priority, SharesAreForgotten) {
  Priority priority(Judged({0.5, 0.5, 0}));
  priority.Asked(0, 0, 1000, true);
  priority.InTime(0, 0, 1000, true);
  priority.Asked(1, 0, 1000, true);
  priority.Forget(Priority::kMemory * 20);
  priority.Asked(0, 0, 1, true);
  priority.Asked(1, 0, 1, true);
  priority.InTime(1, 0, 1, true);
  EXPECT_GT(priority.Of(0, 0), priority.Of(1, 0));
}

// Feeds a state with rates a second, and notes what it became, and when.
class Judged10Hz {
 public:
  void For(double seconds, double arrived, double repeats, double refused) {
    for (int i = 0; i < static_cast<int>(seconds * 10 + 0.5); ++i) {
      now_ += 100;
      const Counts counts{arrived / 10, repeats / 10, refused / 10, (arrived - refused) / 10};
      if (const auto next = state.Judge(At(now_), Duration(100), counts)) changes.push_back(*next);
    }
  }
  State state;
  std::vector<Pressure> changes;

 private:
  double now_ = 0;
};

using enum Pressure;

TEST(State, ASurgeOfRealDemandIsNoStorm) {
  Judged10Hz s;
  s.For(10, 200, 0, 0);
  s.For(10, 400, 20, 150);
  s.For(10, 200, 0, 0);
  EXPECT_EQ(s.changes, (std::vector{kSurge, kCalm}));
}

TEST(State, AStormIsFollowedByRecoveryBeforeCalm) {
  Judged10Hz s;
  s.For(10, 200, 0, 0);
  s.For(10, 600, 300, 400);
  EXPECT_EQ(s.state.now(), kStorm);
  s.For(5, 200, 0, 0);
  EXPECT_EQ(s.state.now(), kRecovery);
  s.For(10, 200, 0, 0);
  EXPECT_EQ(s.changes.back(), kCalm);
  EXPECT_EQ(s.changes[s.changes.size() - 2], kRecovery);
}

TEST(State, WhereNobodyIsAnsweredItIsAStormWhoeverAsks) {
  Judged10Hz s;
  s.For(5, 200, 0, 200);
  EXPECT_EQ(s.state.now(), kStorm);
}

TEST(State, ATrickleUnderTheFloorAndASpellShorterThanItsSignsChangeNothing) {
  Judged10Hz s;
  s.For(30, 200, 9, 9);
  for (int i = 0; i < 10; ++i) {
    s.For(0.1, 200, 60, 60);
    s.For(3, 200, 0, 0);
  }
  EXPECT_TRUE(s.changes.empty());
}

TEST(State, DoesNotFlapWhileItsSignsComeAndGo) {
  Judged10Hz s;
  s.For(5, 400, 0, 200);
  for (int i = 0; i < 20; ++i) {
    s.For(1, 400, 0, 200);
    s.For(1, 200, 0, 0);
  }
  EXPECT_EQ(s.changes, (std::vector{kSurge}));
}

TEST(State, AStormThatReturnsInTheRecoveryIsAStormAgain) {
  Judged10Hz s;
  s.For(5, 600, 300, 400);
  s.For(5, 200, 0, 0);
  ASSERT_EQ(s.state.now(), kRecovery);
  s.For(3, 600, 300, 400);
  EXPECT_EQ(s.state.now(), kStorm);
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
}  // namespace copperpoint::overload
