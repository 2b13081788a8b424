// SPDX-License-Identifier: Apache-2.0
//
// The slow start budget of a backend, and the rates of machine kinds that it depends on.
#include "decision/slow_start.h"

#include <gtest/gtest.h>

namespace copperpoint {
namespace {

TimePoint At(double ms) { return TimePoint{Duration(1e6 + ms)}; }

Settings SlowStartSettings() {
  Settings settings;
  settings.slow_start_min_capacity = 0.2;
  settings.slow_start_window = Duration(10000);
  settings.overload_factor = 2;
  settings.overload_window = Duration(1000);
  return settings;
}

BackendState Started(double at_ms) {
  BackendState backend;
  backend.endpoint.up_since = At(at_ms);
  return backend;
}

TEST(SlowStart, CapacityFractionGrowsLinearlyOverTheWindow) {
  const SlowStart slow_start{SlowStartSettings()};
  const Endpoint endpoint = Started(0).endpoint;
  EXPECT_DOUBLE_EQ(slow_start.CapacityFraction(endpoint, At(0)), 0.2);
  EXPECT_DOUBLE_EQ(slow_start.CapacityFraction(endpoint, At(5000)), 0.6);
  EXPECT_DOUBLE_EQ(slow_start.CapacityFraction(endpoint, At(10000)), 1);
  EXPECT_DOUBLE_EQ(slow_start.CapacityFraction(Endpoint(), At(0)), 1) << "the backend has been up for long";
}

class SlowStartBudget : public ::testing::Test {
 protected:
  SlowStartBudget() {
    for (int i = 0; i < 10; ++i) slow_start_.OnOutcome();
    SlowStart::ServiceRates rates;
    rates.served_work = 10;  // ms of work per ms, served by 10 backends
    rates.in_service = rates.mean_in_service = 10;
    slow_start_.UpdateWarmRate(rates, Duration(100));
    budget_.capacity_fraction = 0.2;
    budget_.mean_work_ms = 10;
    slow_start_.OnStarted(backend_.slow_start, At(0), random_);
  }
  SlowStart slow_start_{SlowStartSettings()};
  SlowStart::Budget budget_;
  BackendState backend_ = Started(0);
  Random random_{1};
};

// kBudgetFraction 0.6 x overload_factor 2 x capacity fraction 0.2 x 1 ms of work per ms, for a second.
constexpr double kBudgetMs = 240;

TEST_F(SlowStartBudget, AdmitsItsFractionOfWhatAWarmBackendServes) {
  EXPECT_TRUE(slow_start_.HasBudget(backend_, kBudgetMs - 1, budget_, At(1)));
  SlowStart::OnSent(backend_.slow_start, /*warming_up=*/true, kBudgetMs - 10, At(1));
  EXPECT_FALSE(slow_start_.HasBudget(backend_, 20, budget_, At(2)));
  EXPECT_TRUE(slow_start_.HasBudget(backend_, 20, budget_, At(1200))) << "the overload window has passed";
}

TEST_F(SlowStartBudget, AdmitsNothingOutsideOfTheSubset) {
  budget_.in_subset = false;
  EXPECT_FALSE(slow_start_.HasBudget(backend_, 1, budget_, At(1)));
}

TEST_F(SlowStartBudget, AdmitsMoreWhereFewerProxiesSendToTheBackend) {
  budget_.backends_per_subset_slot = 4;
  EXPECT_TRUE(slow_start_.HasBudget(backend_, 0.75 * 4 * 0.2 * 1000 - 1, budget_, At(1)));
  EXPECT_FALSE(slow_start_.HasBudget(backend_, 0.75 * 4 * 0.2 * 1000 + 1, budget_, At(1)));
}

TEST_F(SlowStartBudget, AdmitsALargeRequestOnceTheBudgetHasPaidForIt) {
  SlowStart::OnSent(backend_.slow_start, true, 1, At(0));
  EXPECT_FALSE(slow_start_.HasBudget(backend_, 480, budget_, At(1200)));
  EXPECT_TRUE(slow_start_.HasBudget(backend_, 480, budget_, At(2001)))
      << "at 0.24 ms per ms, 480 ms of work take 2000 ms";
}

TEST_F(SlowStartBudget, ExportsAndRestoresWhatWasSent) {
  SlowStart::OnSent(backend_.slow_start, true, 100, At(0));
  SlowStart::OnSent(backend_.slow_start, false, 50, At(1));
  EXPECT_DOUBLE_EQ(slow_start_.SentWorkMs(backend_.slow_start, At(2)), 100);
  BackendState restored = Started(0);
  slow_start_.OnStarted(restored.slow_start, At(2), random_);
  slow_start_.Restore(restored.slow_start, 100, At(2));
  EXPECT_FALSE(slow_start_.HasBudget(restored, kBudgetMs - 50, budget_, At(3)));
}

TEST(MachineKindRates, ComparesTheWorkServedWithTheMean) {
  MachineKindRates rates{Duration(30000)};
  EXPECT_DOUBLE_EQ(rates.RelativeRate(0, 10), 1);
  rates.OnServed(0, 300);
  rates.OnServed(1, 100);
  rates.OnInService(0, 100);
  rates.OnInService(1, 100);
  rates.Decay(Duration(0));
  EXPECT_DOUBLE_EQ(rates.RelativeRate(0, 0), 1.5);
  EXPECT_DOUBLE_EQ(rates.RelativeRate(1, 0), 0.5);
  EXPECT_GT(rates.RelativeRate(1, 100), 0.5) << "prior work at the mean rate moves the result towards 1";
}

}  // namespace
}  // namespace copperpoint
