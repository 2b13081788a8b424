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

RequestReceived MakeRequest(int request_class, int tenant, std::uint64_t key, double work) {
  RequestReceived submit;
  submit.request_class = request_class;
  submit.tenant = tenant;
  submit.key = key;
  submit.has_work_estimate = work > 0;
  submit.estimated_work_ms = work;
  return submit;
}

TEST(Fingerprint, IsTheSameForRetriesOfOneRequest) {
  const RequestReceived one = MakeRequest(1, 2, 3, 4.5);
  RequestReceived again = one;
  again.request = 99;
  again.deadline = At(7);
  EXPECT_EQ(FingerprintOf(one), FingerprintOf(again));
  for (const RequestReceived& other : {MakeRequest(0, 2, 3, 4.5), MakeRequest(1, 0, 3, 4.5),
                                       MakeRequest(1, 2, 0, 4.5), MakeRequest(1, 2, 3, 4.25)})
    EXPECT_NE(FingerprintOf(one), FingerprintOf(other));
  EXPECT_EQ(FingerprintOf(MakeRequest(1, 2, 0, 0)), 0u) << "class and tenant alone identify nobody";
  EXPECT_NE(FingerprintOf(MakeRequest(1, 2, 3, 0)), 0u);
}

TEST(ClientRetries, RetryOfUnservedRequestBelongsToItsLogicalRequest) {
  Repeats repeats;
  Wish logical_request = repeats.Arrived(7, At(100));
  EXPECT_EQ(logical_request.tries, 1);
  repeats.Unserved(7, logical_request, At(1000));
  logical_request = repeats.Arrived(7, At(300));
  EXPECT_EQ(logical_request.tries, 2);
  EXPECT_EQ(logical_request.since, At(100));
  logical_request.within_share = false;
  repeats.Unserved(7, logical_request, At(1000));
  logical_request = repeats.Arrived(7, At(500));
  EXPECT_FALSE(logical_request.within_share) << "a retry does not count twice against the tenant's quota";
  EXPECT_EQ(logical_request.tries, 3);
  EXPECT_EQ(logical_request.since, At(100));
}

TEST(ClientRetries, RecognisesNoRetryAfterTheDeadlineOrTwice) {
  Repeats repeats;
  repeats.Unserved(7, repeats.Arrived(7, At(0)), At(1000));
  EXPECT_EQ(repeats.Arrived(7, At(1000)).tries, 1);
  repeats.Unserved(8, repeats.Arrived(8, At(0)), At(1000));
  EXPECT_EQ(repeats.Arrived(8, At(1)).tries, 2);
  EXPECT_EQ(repeats.Arrived(8, At(2)).tries, 1);
  EXPECT_EQ(repeats.Arrived(0, At(0)).tries, 1);
}

// The same estimate or key for many clients: the next request may be of any of them.
TEST(ClientRetries, SharedFingerprintIdentifiesNoRequest) {
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

TEST(ClientRetries, MemoryIsBoundedAndReleased) {
  Repeats repeats;
  for (std::uint64_t f = 1; f <= Repeats::kMostKept + 100; ++f) {
    const Wish logical_request = repeats.Arrived(f, At(0));
    repeats.Unserved(f, logical_request, At(1000));
  }
  EXPECT_EQ(repeats.kept(), Repeats::kMostKept);
  EXPECT_EQ(repeats.Arrived(5, At(10)).tries, 2);
  repeats.Final(5, At(900));
  repeats.Arrived(0, At(2000));
  EXPECT_EQ(repeats.kept(), 0u);
}

}  // namespace
}  // namespace copperpoint::overload
