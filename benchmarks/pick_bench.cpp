// SPDX-License-Identifier: Apache-2.0
//
// Measures the cost of the decision module for several numbers of backends: a pick, an outcome, both
// together, and memory. Half as many requests are in flight as there are backends, and answers take 20 ms.
// Only the ratios within one run are meaningful.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "copperpoint/balancer.h"

namespace copperpoint {
namespace {

constexpr Duration kLatency{20};

Settings BenchmarkSettings() {
  Settings s;
  ClassSettings lookup;
  lookup.idempotency = Idempotency::kIdempotent;
  lookup.latency_objective = Duration(500);
  lookup.deadline = Duration(2500);
  s.classes = {lookup};
  s.max_attempts = 3;
  return s;
}

// A Balancer in a steady state, with half as many requests in flight as there are backends.
class LoadedProxy {
 public:
  explicit LoadedProxy(int backends)
      : balancer_(BenchmarkSettings(), 1), target_in_flight_(static_cast<std::size_t>(backends) / 2) {
    EndpointUpdate list{EndpointUpdateKind::kSnapshot, {}};
    for (int i = 0; i < backends; ++i) {
      Endpoint endpoint;
      endpoint.backend = static_cast<BackendId>(i);
      list.endpoints.push_back(endpoint);
    }
    Handle(list);
    interval_ = kLatency / static_cast<double>(target_in_flight_);
    // Runs until the averages and the subset of the module have settled.
    for (std::size_t i = 0; i < target_in_flight_ * 6 + 5000; ++i) AnswerAndSubmit();
  }

  // Advances to the next arrival: completes the attempts that are due and submits a request.
  void AnswerAndSubmit() {
    now_ += interval_;
    while (!in_flight_.empty() && in_flight_.front().due <= now_) CompleteOldest();
    SubmitRequest();
  }

  void SubmitRequest() {
    RequestReceived received;
    received.request = ++last_request_;
    received.deadline = now_ + Duration(2500);
    received.has_work_estimate = true;
    received.estimated_work_ms = 10;
    Handle(received);
  }

  void CompleteOldest() {
    if (in_flight_.empty()) return;
    AttemptCompleted completed;
    completed.request = in_flight_.front().request;
    completed.backend = in_flight_.front().backend;
    completed.request_completed = true;
    completed.outcome = AttemptOutcome::kSuccess;
    completed.duration = kLatency;
    in_flight_.pop_front();
    Handle(completed);
  }

  // Advances the time by that of `requests` arrivals.
  void AdvanceTime(int requests) { now_ += interval_ * requests; }

 private:
  struct InFlight {
    TimePoint due;
    RequestId request;
    BackendId backend;
  };
  void Handle(const Event& event) {
    actions_.clear();
    balancer_.Handle(now_, event, &actions_);
    for (const Action& action : actions_) {
      if (const auto* start = std::get_if<StartAttempt>(&action))
        in_flight_.push_back({now_ + kLatency, start->request, start->backend});
    }
  }

  Balancer balancer_;
  std::size_t target_in_flight_;
  Duration interval_{1};
  TimePoint now_{Duration(1e9)};
  RequestId last_request_ = 0;
  std::deque<InFlight> in_flight_;
  std::vector<Action> actions_;
};

// Returns the proxy for a number of backends. It is kept, since the library calls a benchmark function
// several times.
LoadedProxy& LoadedProxyOf(std::int64_t backends) {
  static std::map<std::int64_t, LoadedProxy> all;
  return all.try_emplace(backends, static_cast<int>(backends)).first->second;
}

void RequestAndOutcome(benchmark::State& state) {
  LoadedProxy& proxy = LoadedProxyOf(state.range(0));
  for (auto _ : state) proxy.AnswerAndSubmit();
}

// Measures the cost of only one of the two kinds of events. Events are measured in batches, so that the clock
// is read seldom.
constexpr int kBatchSize = 4;  // fewer than the six requests in flight at twelve backends

void MeasureBatches(benchmark::State& state, bool measure_picks) {
  LoadedProxy& proxy = LoadedProxyOf(state.range(0));
  for (auto _ : state) {
    proxy.AdvanceTime(kBatchSize);
    const auto start = std::chrono::steady_clock::now();
    for (int k = 0; k < kBatchSize; ++k) proxy.CompleteOldest();
    const auto between = std::chrono::steady_clock::now();
    for (int k = 0; k < kBatchSize; ++k) proxy.SubmitRequest();
    const auto end = std::chrono::steady_clock::now();
    state.SetIterationTime(
        std::chrono::duration<double>(measure_picks ? end - between : between - start).count() / kBatchSize);
  }
}
void Pick(benchmark::State& state) { MeasureBatches(state, true); }
void OutcomeOf(benchmark::State& state) { MeasureBatches(state, false); }

// Measures the heap memory of one Balancer in its steady state.
void Memory(benchmark::State& state) {
  const std::size_t before = mallinfo2().uordblks;
  const LoadedProxy proxy(static_cast<int>(state.range(0)));
  const std::size_t allocated = mallinfo2().uordblks - before;
  for (auto _ : state) benchmark::DoNotOptimize(allocated);
  state.counters["bytes"] = static_cast<double>(allocated);
  state.counters["per_backend"] = static_cast<double>(allocated) / static_cast<double>(state.range(0));
}

void Sizes(benchmark::internal::Benchmark* bench) {
  for (const int backends : {12, 100, 1000, 10000}) bench->Arg(backends);
}
// The number of iterations is fixed, so that callgrind counts the same work in two programs.
constexpr int kIterations = 40000;
BENCHMARK(RequestAndOutcome)->Apply(Sizes)->Iterations(kIterations)->Unit(benchmark::kMicrosecond);
BENCHMARK(Pick)->Apply(Sizes)->Iterations(kIterations)->Unit(benchmark::kMicrosecond)->UseManualTime();
BENCHMARK(OutcomeOf)->Apply(Sizes)->Iterations(kIterations)->Unit(benchmark::kMicrosecond)->UseManualTime();
BENCHMARK(Memory)->Apply(Sizes)->Iterations(1);

}  // namespace
}  // namespace copperpoint

BENCHMARK_MAIN();
