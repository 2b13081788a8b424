// SPDX-License-Identifier: Apache-2.0
//
// Client retries: how they are recognised.
#include <gtest/gtest.h>

#include <cstdint>

#include "copperpoint/balancer.h"
#include "decision/client_retry_detector.h"
#include "support/balancer_fixture.h"

namespace copperpoint {
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

}  // namespace
}  // namespace copperpoint
