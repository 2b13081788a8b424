// SPDX-License-Identifier: Apache-2.0
//
// Client retries: how they are recognised.
#include <gtest/gtest.h>

#include <cstdint>

#include "copperpoint/balancer.h"
#include "overload/repeats.h"
#include "support/balancer_fixture.h"

namespace copperpoint::overload {
namespace {

using copperpoint::testing::At;

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

}  // namespace
}  // namespace copperpoint::overload
