// SPDX-License-Identifier: Apache-2.0
//
// Checks the models of the simulation against closed-form results where these exist: an error in the event
// queue, the backends, the arrivals or the histogram would distort every simulated figure.
#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <memory>

#include "lab_testing.h"
#include "simulation/core/event_queue.h"
#include "simulation/core/random.h"
#include "simulation/report/latency_histogram.h"
#include "simulation/world/arrival_process.h"
#include "simulation/world/backend.h"
#include "simulation/world/drawn_scenario.h"

namespace copperpoint::simulation {
namespace {

TEST(EventQueue, PopsByTimeThenPriorityThenPushOrder) {
  EventQueue queue;
  queue.Push(20, EventPriority::kControl, 1, 0, 0);
  queue.Push(10, EventPriority::kTimeout, 2, 0, 0);
  queue.Push(10, EventPriority::kBackend, 3, 0, 0);
  queue.Push(10, EventPriority::kBackend, 4, 0, 0);
  queue.Push(10, EventPriority::kControl, 5, 0, 0);
  std::vector<std::uint32_t> kinds;
  while (!queue.empty()) kinds.push_back(queue.PopNext().kind);
  EXPECT_EQ(kinds, (std::vector<std::uint32_t>{5, 3, 4, 2, 1}));
}

TEST(EventQueue, PushInThePastIsDueNowAndTimeNeverDecreases) {
  EventQueue queue;
  queue.Push(100, EventPriority::kControl, 1, 0, 0);
  queue.PopNext();
  queue.Push(5, EventPriority::kControl, 2, 0, 0);
  EXPECT_EQ(queue.PopNext().at, 100);
  EXPECT_EQ(queue.now(), 100);
}

// The mean response time of an M/M/c queue with first-come, first-served order (Erlang C), in milliseconds.
double TheoreticalMeanResponse(int c, double rho, double service_ms) {
  const double a = rho * c;
  double sum = 0, term = 1;
  for (int k = 0; k < c; ++k) {
    sum += term;
    term *= a / (k + 1);
  }
  const double waits = term / (1 - rho) / (sum + term / (1 - rho));
  return service_ms + waits * service_ms / (c * (1 - rho));
}

double SimulatedMeanResponse(int cores, double rho) {
  Scenario s = MinimalScenario();
  s.length_s = 400;
  s.load.rate = 1000.0 * rho * cores;
  s.classes[0].work_ms = 1;
  s.classes[0].distribution = "exponential";
  s.classes[0].latency_objective_ms = s.classes[0].deadline_ms = 100000;
  s.backend_types[0].cores = cores;
  s.backend_types[0].queue = 1000000;
  RunOptions options;
  options.policy = "round_robin";
  options.seed = 7;
  return simulation::Run(s, options).json["mean_ms"].get<double>();
}

TEST(Models, MeanResponseOfAnMM1QueueIsWithin3PercentOfTheory) {
  for (const double rho : {0.3, 0.6})
    EXPECT_NEAR(SimulatedMeanResponse(1, rho) / TheoreticalMeanResponse(1, rho, 1), 1, 0.03) << rho;
}

TEST(Models, MeanResponseOfAnMMcQueueIsWithin3PercentOfTheory) {
  EXPECT_NEAR(SimulatedMeanResponse(4, 0.5) / TheoreticalMeanResponse(4, 0.5, 1), 1, 0.03);
  EXPECT_NEAR(SimulatedMeanResponse(2, 0.7) / TheoreticalMeanResponse(2, 0.7, 1), 1, 0.03);
}

TEST(Models, CapacityRisesLinearlyDuringSlowStart) {
  BackendType machine;
  machine.slow_start_min_capacity = 0.2;
  machine.slow_start_window_s = 10;
  Backend backend(machine, 0, 0, 2);
  EXPECT_EQ(backend.CapacityFraction(0), 1) << "it started long ago";
  backend.Stop(Backend::Health::kDown);
  backend.Start(FromMs(5000));
  EXPECT_NEAR(backend.CapacityFraction(FromMs(5000)), 0.2, 1e-9);
  EXPECT_NEAR(backend.CapacityFraction(FromMs(10000)), 0.6, 1e-9);
  EXPECT_NEAR(backend.Capacity(FromMs(10000)), 1.2, 1e-9);
  EXPECT_EQ(backend.CapacityFraction(FromMs(15000)), 1);
}

Micros StartedAt(Backend& backend, Micros now, double work) {
  StartedJob started;
  Job job;
  job.work_ms = static_cast<float>(work);
  EXPECT_EQ(backend.Arrive(now, job, &started), ArrivalResult::kStarted);
  return started.ends_at;
}

TEST(Models, PauseDelaysRunningWorkByItsWholeDuration) {
  BackendType machine;
  Backend backend(machine, 0, 0, 1);
  StartedJob started;
  Job job;
  job.work_ms = 10;
  ASSERT_EQ(backend.Arrive(0, job, &started), ArrivalResult::kStarted);
  EXPECT_EQ(started.ends_at, 10000);
  backend.Pause(4000, 9000);
  backend.Pause(6000, 12000);  // overlaps the first pause: together 8 ms
  Micros postponed_to = 0;
  EXPECT_FALSE(backend.Finish(10000, started.slot, &postponed_to).has_value());
  EXPECT_EQ(postponed_to, 18000);
  EXPECT_TRUE(backend.Finish(18000, started.slot, &postponed_to).has_value());
}

TEST(Models, WorkArrivingDuringAPauseStartsAtItsEnd) {
  BackendType machine;
  Backend backend(machine, 0, 0, 1);
  backend.Pause(0, 5000);
  EXPECT_EQ(StartedAt(backend, 1000, 2), 7000);
}

// Returns the time that 10 ms of work for that key take at an idle backend, which is idle again afterwards.
Micros DurationOf(Backend& backend, Micros now, std::uint64_t key) {
  StartedJob started;
  Job job;
  job.work_ms = 10;
  job.key = key;
  backend.Arrive(now, job, &started);
  Micros postponed_to = 0;
  backend.Finish(started.ends_at, started.slot, &postponed_to);
  return started.ends_at - now;
}

TEST(Models, CachedKeyReducesWorkUntilItExpires) {
  BackendType machine;
  machine.cores = 4;
  machine.cached_key_gain = 0.5;
  machine.cached_key_s = 2;
  Backend backend(machine, 0, 0, 1);
  const auto duration_of = [&](Micros now, std::uint64_t key) { return DurationOf(backend, now, key); };
  EXPECT_EQ(duration_of(0, 5), 10000);
  EXPECT_EQ(duration_of(100000, 5), 5000);
  EXPECT_EQ(duration_of(100000, 6), 10000);
  EXPECT_EQ(duration_of(2200000, 5), 10000) << "the key expired after 2 s";
}

TEST(Models, KeyCacheEvictsBeyondItsCapacity) {
  BackendType machine;
  machine.cached_key_gain = 0.5;
  machine.max_cached_keys = 3;
  Backend backend(machine, 0, 0, 1);
  Micros now = 0;
  const auto duration_of = [&](std::uint64_t key) {
    const Micros took = DurationOf(backend, now, key);
    now += took;
    return took;
  };
  for (const std::uint64_t key : {1, 2, 3, 4}) EXPECT_EQ(duration_of(key), 10000);
  EXPECT_EQ(duration_of(4), 5000);
  EXPECT_EQ(duration_of(1), 10000) << "evicted";
}

TEST(Models, KeyFrequenciesFollowZipfsLaw) {
  Scenario s = MinimalScenario("length_s = 200\n[load]\nrate = 1000\nkeys = 50\nzipf = 1.0\n");
  const DrawnScenario drawn = DrawScenario(s, 3);
  ArrivalProcess arrivals(s, drawn);
  std::map<std::uint64_t, double> seen;
  double all = 0;
  while (const auto arrival = arrivals.Next()) ++seen[arrival->key], ++all;
  double harmonic = 0;
  for (int k = 1; k <= 50; ++k) harmonic += 1.0 / k;
  EXPECT_NEAR(all, 200000, 2000);
  for (const int k : {1, 2, 5, 20})
    EXPECT_NEAR(seen[static_cast<std::uint64_t>(k)] / all * harmonic * k, 1, 0.05) << k;
}

TEST(Models, MeanWorkIsAsConfiguredForEveryDistribution) {
  for (const char* shape : {"lognormal", "exponential", "constant"}) {
    Scenario s = MinimalScenario("length_s = 100\n[load]\nrate = 1000\n");
    s.classes[0].distribution = shape;
    s.classes[0].work_ms = 40;
    const DrawnScenario drawn = DrawScenario(s, 3);
    ArrivalProcess arrivals(s, drawn);
    double sum = 0, n = 0;
    while (const auto arrival = arrivals.Next()) sum += arrival->work_ms, ++n;
    EXPECT_NEAR(sum / n, 40, 0.8) << shape;
  }
}

TEST(Models, BurstMultipliesTheRateForItsDuration) {
  const Scenario s = MinimalScenario(
      "length_s = 30\n[load]\nrate = 500\n[[trouble]]\nkind = \"burst\"\nat_s = 10\nfor_s = 10\nsize = 3\n");
  const DrawnScenario drawn = DrawScenario(s, 1);
  ArrivalProcess arrivals(s, drawn);
  double within = 0, without = 0;
  while (const auto arrival = arrivals.Next()) {
    const double at = ToMs(arrival->at) / 1000;
    ++(at >= 10 && at < 20 ? within : without);
  }
  EXPECT_NEAR(without / 20, 500, 15);
  EXPECT_NEAR(within / 10, 1500, 40);
}

TEST(LatencyHistogram, QuantilesAreWithinTheResolutionOfABin) {
  LatencyHistogram latency;
  for (int i = 1; i <= 10000; ++i) latency.Add(i * 0.1);
  EXPECT_NEAR(latency.Quantile(0.5), 500, 6);
  EXPECT_NEAR(latency.Quantile(0.99), 990, 11);
  EXPECT_EQ(latency.count(), 10000);
  EXPECT_NEAR(latency.Mean(), 500.05, 1e-6);
  EXPECT_EQ(LatencyHistogram().Quantile(0.5), 0);
}

TEST(LatencyHistogram, ValuesOutOfRangeAreCountedInTheOuterBins) {
  LatencyHistogram latency;
  latency.Add(0);
  latency.Add(1e9);
  EXPECT_EQ(latency.count(), 2);
  EXPECT_LE(latency.Quantile(0.4), 0.011);
  EXPECT_GE(latency.Quantile(1), 9e5);
}

}  // namespace
}  // namespace copperpoint::simulation
