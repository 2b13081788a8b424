// SPDX-License-Identifier: Apache-2.0
//
// The rules that admit, queue or shed a request: concurrency limit, service time, load shedding, tenant
// quotas, client timeouts and the queue.
#include <gtest/gtest.h>

#include <vector>

#include "decision/client_timeouts.h"
#include "decision/concurrency_limit.h"
#include "decision/load_shedder.h"
#include "decision/request_queue.h"
#include "decision/service_time.h"
#include "decision/tenant_quotas.h"

namespace copperpoint {
namespace {

TimePoint At(double ms) { return TimePoint{Duration(1e6 + ms)}; }

int LimitOf(const ConcurrencyLimit::Inputs& inputs) {
  ConcurrencyLimit limit;
  while (limit.HasCapacity(inputs)) limit.OnAttemptStarted();
  return limit.in_flight();
}

TEST(ConcurrencyLimit, IsTheRateTimesThreeUncongestedLatenciesPlusOneDeviation) {
  ConcurrencyLimit::Inputs inputs;
  inputs.answers_per_ms = 1;
  inputs.mean_objective_ms = 1000;
  inputs.uncongested_latency_ms = 12;
  EXPECT_EQ(LimitOf(inputs), 36 + 6);
}

TEST(ConcurrencyLimit, IsBoundedByAThirdOfTheObjective) {
  ConcurrencyLimit::Inputs inputs;
  inputs.answers_per_ms = 1;
  inputs.mean_objective_ms = 100;
  inputs.uncongested_latency_ms = 100;
  EXPECT_EQ(LimitOf(inputs), 39) << "33 plus its square root, rounded up";
}

TEST(ConcurrencyLimit, PermitsThreeAttemptsPerBackendOverAllProxies) {
  ConcurrencyLimit::Inputs inputs;
  inputs.ready_capacity = 10;
  inputs.proxy_count = 2;
  EXPECT_EQ(LimitOf(inputs), 15);
}

TEST(ConcurrencyLimit, DoesNotCountOverdueAttempts) {
  ConcurrencyLimit::Inputs inputs;
  inputs.ready_capacity = 1;
  ConcurrencyLimit limit;
  while (limit.HasCapacity(inputs)) limit.OnAttemptStarted();
  limit.OnOverdue();
  EXPECT_TRUE(limit.HasCapacity(inputs));
  limit.OnAttemptStarted();
  limit.OnAttemptEnded(/*overdue=*/true);
  EXPECT_FALSE(limit.HasCapacity(inputs)) << "the end of an overdue attempt frees no capacity";
}

TEST(ConcurrencyLimit, FallsToOneAttemptUnderCongestionAndRecovers) {
  const ConcurrencyLimit::Inputs inputs;
  ConcurrencyLimit limit;
  for (int i = 0; i < 100; ++i) limit.OnLatency(1000, 10);
  limit.OnAttemptStarted();
  EXPECT_FALSE(limit.HasCapacity(inputs));
  limit.Decay(Duration(8000));
  EXPECT_TRUE(limit.HasCapacity(inputs));
}

TEST(ServiceTime, FollowsFasterAnswersSoonerThanSlowerOnes) {
  ServiceTime service_time;
  EXPECT_FALSE(service_time.known());
  for (int i = 0; i < 3; ++i) service_time.OnSuccess(10, 5, 20);
  EXPECT_DOUBLE_EQ(service_time.ReliableOfWork(10), 0) << "three answers are too few to reject requests for";
  for (int i = 0; i < 7; ++i) service_time.OnSuccess(10, 5, 20);
  EXPECT_NEAR(service_time.ReliableOfWork(10), 20, 1e-9);
  service_time.OnSuccess(10, 5, 30);
  EXPECT_NEAR(service_time.OfWork(10), 20.1, 1e-9);
  service_time.OnSuccess(10, 5, 10.1);
  EXPECT_NEAR(service_time.OfWork(10), 19.1, 1e-9);
}

TEST(ServiceTime, IgnoresRequestsBelowTheMeanWork) {
  ServiceTime service_time;
  service_time.OnSuccess(4, 5, 100);
  EXPECT_FALSE(service_time.known());
}

TEST(ServiceTime, FallsWithEachRequestFoundTooLarge) {
  ServiceTime service_time;
  service_time.OnSuccess(10, 5, 20);
  service_time.OnFoundTooLarge();
  EXPECT_NEAR(service_time.OfWork(10), 19, 1e-9);
}

class LoadShedderTest : public ::testing::Test {
 protected:
  // Returns the fraction that is shed of 1000 requests with a work estimate.
  double Shed(bool over_quota) {
    int shed = 0;
    for (std::uint64_t fingerprint = 1; fingerprint <= 1000; ++fingerprint)
      shed +=
          shedder_.ShouldShed({fingerprint, true, over_quota}, /*concurrency_limit_suffices=*/false, random_);
    return shed / 1000.0;
  }
  LoadShedder shedder_;
  Random random_{1};
};

TEST_F(LoadShedderTest, ShedsNothingWhileAnswersTakeLessThanTheirTarget) {
  for (int i = 0; i < 500; ++i) shedder_.OnLatency(39, Duration(100));
  EXPECT_LT(shedder_.pressure(), 1);
  EXPECT_DOUBLE_EQ(Shed(false), 0);
}

TEST_F(LoadShedderTest, ShedsByTheSquareOfThePressureAndMoreOverQuota) {
  for (int i = 0; i < 500; ++i) shedder_.OnLatency(80, Duration(100));
  EXPECT_NEAR(shedder_.pressure(), 2, 1e-6);
  EXPECT_NEAR(Shed(false), 1 - 1 / 4.0, 0.05);
  EXPECT_NEAR(Shed(true), 1 - 1 / 16.0, 0.05);
}

TEST_F(LoadShedderTest, ShedsTheSameFingerprintsAtEveryProxy) {
  for (int i = 0; i < 500; ++i) shedder_.OnLatency(80, Duration(100));
  LoadShedder other = shedder_;
  Random other_random(99);
  for (std::uint64_t fingerprint = 1; fingerprint <= 100; ++fingerprint)
    EXPECT_EQ(shedder_.ShouldShed({fingerprint, true, false}, false, random_),
              other.ShouldShed({fingerprint, true, false}, false, other_random));
}

TEST_F(LoadShedderTest, ShedsNothingWhereTheConcurrencyLimitSuffices) {
  for (int i = 0; i < 500; ++i) shedder_.OnNoCapacity();
  EXPECT_GT(shedder_.pressure(), 2);
  EXPECT_FALSE(shedder_.ShouldShed({1, false, true}, /*concurrency_limit_suffices=*/true, random_));
  shedder_.Decay(Duration(8000));
  EXPECT_TRUE(shedder_.IsRelaxed());
}

TEST(RetryAfterFor, IsTheDeadlineIfClientsFollowThatLong) {
  Random random(1);
  EXPECT_EQ(RetryAfterFor(Duration(1000), Duration(2000), 1, random), Duration(1000));
  EXPECT_EQ(RetryAfterFor(Duration(1000), Duration(0), 1, random), Duration(0));
}

TEST(RetryAfterFor, SpreadsATenthAtTheFirstAttemptOnly) {
  Random random(1);
  for (int i = 0; i < 50; ++i) {
    const Duration first = RetryAfterFor(Duration(1000), Duration(800), 1, random);
    EXPECT_GE(first, Duration(720));
    EXPECT_LE(first, Duration(800));
    EXPECT_EQ(RetryAfterFor(Duration(1000), Duration(800), 2, random), Duration(800));
  }
}

TEST(TenantQuotas, StoresTwoSecondsOfThePartOfAProxy) {
  Settings settings;
  settings.proxy_count = 2;
  settings.tenants = {{10}, {0}};
  TenantQuotas quotas(settings);
  quotas.Refill(60000);
  int taken = 0;
  while (quotas.TakeToken(0)) ++taken;
  EXPECT_EQ(taken, 10) << "this proxy's part of the quota is 5 requests per second";
  EXPECT_TRUE(quotas.TakeToken(1));
  EXPECT_FALSE(quotas.TakeToken(1));
  EXPECT_TRUE(quotas.TakeToken(7)) << "a tenant that isn't in the settings has no quota";
  quotas.Refill(200);
  EXPECT_TRUE(quotas.TakeToken(0));
}

TEST(ClientTimeouts, ReturnsTheTimeAClientHasWaitedForAtItsLastAttempt) {
  ClientTimeouts timeouts;
  for (int i = 0; i < 9; ++i)
    EXPECT_EQ(timeouts.ElapsedOnArrival(Duration(500), Duration(1000), false), Duration(0));
  EXPECT_EQ(timeouts.ElapsedOnArrival(Duration(500), Duration(1000), false), Duration(0))
      << "counted ten times, 500 ms is a usual timeout";
  EXPECT_EQ(timeouts.ElapsedOnArrival(Duration(300), Duration(1000), false), Duration(700));
  EXPECT_EQ(timeouts.ElapsedOnArrival(Duration(505), Duration(1000), true), Duration(495 * 0.5));
}

RequestState Queued(RequestId id, double priority, double received_ms) {
  RequestState request;
  request.id = id;
  request.queue_priority = priority;
  request.received_at = At(received_ms);
  return request;
}

TEST(RequestQueue, ServesByPriorityThenAge) {
  RequestQueue queue;
  RequestState low = Queued(1, 1, 0), young = Queued(2, 5, 9), old = Queued(3, 5, 8);
  for (RequestState* request : {&low, &young, &old}) queue.Add(*request);
  std::vector<RequestId> order;
  queue.VisitInOrder([&](RequestId id) {
    order.push_back(id);
    if (id == 3) queue.Remove(old);
    return order.size() < 2;
  });
  EXPECT_EQ(order, (std::vector<RequestId>{3, 2}));
  EXPECT_FALSE(old.queued);
  EXPECT_EQ(queue.size(), 2u);
}

TEST(RequestQueue, ReturnsWakeUpsThatAreDueEarliestFirst) {
  RequestQueue queue;
  EXPECT_EQ(queue.next_wake_up(), kNever);
  queue.AddWakeUp(At(20), 2);
  queue.AddWakeUp(At(10), 1);
  EXPECT_EQ(queue.next_wake_up(), At(10));
  EXPECT_EQ(queue.TakeDue(At(9)), std::nullopt);
  EXPECT_EQ(queue.TakeDue(At(20)), RequestId{1});
  EXPECT_EQ(queue.TakeDue(At(20)), RequestId{2});
  EXPECT_EQ(queue.TakeDue(At(20)), std::nullopt);
}

}  // namespace
}  // namespace copperpoint
