// SPDX-License-Identifier: Apache-2.0
//
// How client retries are recognised. Guards against a retry counted as a new request, and a new request taken
// for the retry of another.
#include <gtest/gtest.h>

#include <cstdint>

#include "copperpoint/balancer.h"
#include "decision/client_retry_detector.h"
#include "support/balancer_fixture.h"

namespace copperpoint {
namespace {

using copperpoint::testing::At;

RequestReceived MakeRequest(int request_class, int tenant, std::uint64_t key, double work) {
  RequestReceived request;
  request.request_class = request_class;
  request.tenant = tenant;
  request.key = key;
  request.has_work_estimate = work > 0;
  request.estimated_work_ms = work;
  return request;
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
  EXPECT_EQ(FingerprintOf(MakeRequest(1, 2, 0, 0)), 0u) << "class and tenant alone identify no request";
  EXPECT_NE(FingerprintOf(MakeRequest(1, 2, 3, 0)), 0u);
}

TEST(ClientRetryDetector, RetryOfUnservedRequestBelongsToItsLogicalRequest) {
  ClientRetryDetector detector;
  LogicalRequest logical_request = detector.OnReceived(7, At(100));
  EXPECT_EQ(logical_request.client_attempts, 1);
  detector.OnUnserved(7, logical_request, At(1000));
  logical_request = detector.OnReceived(7, At(300));
  EXPECT_EQ(logical_request.client_attempts, 2);
  EXPECT_EQ(logical_request.first_received, At(100));
  logical_request.within_quota = false;
  detector.OnUnserved(7, logical_request, At(1000));
  logical_request = detector.OnReceived(7, At(500));
  EXPECT_FALSE(logical_request.within_quota) << "a retry does not count twice against the tenant's quota";
  EXPECT_EQ(logical_request.client_attempts, 3);
  EXPECT_EQ(logical_request.first_received, At(100));
}

TEST(ClientRetryDetector, RecognisesNoRetryAfterTheDeadlineOrTwice) {
  ClientRetryDetector detector;
  detector.OnUnserved(7, detector.OnReceived(7, At(0)), At(1000));
  EXPECT_EQ(detector.OnReceived(7, At(1000)).client_attempts, 1);
  detector.OnUnserved(8, detector.OnReceived(8, At(0)), At(1000));
  EXPECT_EQ(detector.OnReceived(8, At(1)).client_attempts, 2);
  EXPECT_EQ(detector.OnReceived(8, At(2)).client_attempts, 1);
  EXPECT_EQ(detector.OnReceived(0, At(0)).client_attempts, 1);
}

// If many clients use the same estimate or key, the next request with it may be of any of them.
TEST(ClientRetryDetector, SharedFingerprintIdentifiesNoRequest) {
  ClientRetryDetector detector;
  const LogicalRequest one = detector.OnReceived(7, At(0));
  const LogicalRequest other = detector.OnReceived(7, At(1));
  detector.OnUnserved(7, one, At(1000));
  detector.OnUnserved(7, other, At(1000));
  EXPECT_EQ(detector.OnReceived(7, At(10)).client_attempts, 1);

  detector.OnReceived(8, At(0));
  detector.OnServed(8, At(500));
  detector.OnUnserved(8, detector.OnReceived(8, At(100)), At(1100));
  EXPECT_EQ(detector.OnReceived(8, At(200)).client_attempts, 1)
      << "a request with the same fingerprint was served shortly before";
}

TEST(ClientRetryDetector, MemoryIsBoundedAndReleased) {
  ClientRetryDetector detector;
  for (std::uint64_t f = 1; f <= ClientRetryDetector::kMaxFingerprints + 100; ++f) {
    const LogicalRequest logical_request = detector.OnReceived(f, At(0));
    detector.OnUnserved(f, logical_request, At(1000));
  }
  EXPECT_EQ(detector.size(), ClientRetryDetector::kMaxFingerprints);
  EXPECT_EQ(detector.OnReceived(5, At(10)).client_attempts, 2);
  detector.OnServed(5, At(900));
  detector.OnReceived(0, At(2000));
  EXPECT_EQ(detector.size(), 0u);
}

}  // namespace
}  // namespace copperpoint
