// SPDX-License-Identifier: Apache-2.0
//
// What the decision module costs as the fleet grows: a pick, an outcome, both together and the memory, while
// half as many requests are out as there are backends, and answers take 20 ms. Read the ratios within one
// run.
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

constexpr Duration kAnswer{20};

Settings SettingsFor() {
  Settings s;
  ClassSettings lookup;
  lookup.idempotency = Idempotency::kIdempotent;
  lookup.latency_objective = Duration(500);
  lookup.deadline = Duration(2500);
  s.classes = {lookup};
  s.max_attempts = 3;
  return s;
}

// A proxy in a steady state.
class Steady {
 public:
  explicit Steady(int backends)
      : balancer_(SettingsFor(), 1), out_at_once_(static_cast<std::size_t>(backends) / 2) {
    EndpointUpdate list{EndpointUpdateKind::kSnapshot, {}};
    for (int i = 0; i < backends; ++i) {
      Endpoint entry;
      entry.backend = static_cast<BackendId>(i);
      list.endpoints.push_back(entry);
    }
    Handle(list);
    gap_ = kAnswer / static_cast<double>(out_at_once_);
    // Long enough for the module's averages and its subset to have settled.
    for (std::size_t i = 0; i < out_at_once_ * 6 + 5000; ++i) Turn();
  }

  // One request comes, the oldest one out is answered.
  void Turn() {
    now_ += gap_;
    while (!out_.empty() && out_.front().due <= now_) AnswerOldest();
    Ask();
  }

  void Ask() {
    RequestReceived submit;
    submit.request = ++last_;
    submit.deadline = now_ + Duration(2500);
    submit.has_work_estimate = true;
    submit.estimated_work_ms = 10;
    Handle(submit);
  }

  void AnswerOldest() {
    if (out_.empty()) return;
    AttemptCompleted end;
    end.request = out_.front().request;
    end.backend = out_.front().server;
    end.request_completed = true;
    end.outcome = AttemptOutcome::kSuccess;
    end.duration = kAnswer;
    out_.pop_front();
    Handle(end);
  }

  // Time goes on by as many gaps as requests are to come at once.
  void Wait(int requests) { now_ += gap_ * requests; }

 private:
  struct Out {
    TimePoint due;
    RequestId request;
    BackendId server;
  };
  void Handle(const Event& event) {
    actions_.clear();
    balancer_.Handle(now_, event, &actions_);
    for (const Action& action : actions_) {
      if (const auto* dispatch = std::get_if<StartAttempt>(&action))
        out_.push_back({now_ + kAnswer, dispatch->request, dispatch->backend});
    }
  }

  Balancer balancer_;
  std::size_t out_at_once_;
  Duration gap_{1};
  TimePoint now_{Duration(1e9)};
  RequestId last_ = 0;
  std::deque<Out> out_;
  std::vector<Action> actions_;
};

// One for each size: the benchmark calls its function again and again to find how often it has to.
Steady& SteadyOf(std::int64_t backends) {
  static std::map<std::int64_t, Steady> all;
  return all.try_emplace(backends, static_cast<int>(backends)).first->second;
}

void RequestAndOutcome(benchmark::State& state) {
  Steady& steady = SteadyOf(state.range(0));
  for (auto _ : state) steady.Turn();
}

// In handfuls, so that the clock is read seldom: what only one of the two kinds of events costs.
constexpr int kHandful = 4;  // of twelve backends six requests are out

void TimedByHand(benchmark::State& state, bool picks) {
  Steady& steady = SteadyOf(state.range(0));
  for (auto _ : state) {
    steady.Wait(kHandful);
    const auto start = std::chrono::steady_clock::now();
    for (int k = 0; k < kHandful; ++k) steady.AnswerOldest();
    const auto between = std::chrono::steady_clock::now();
    for (int k = 0; k < kHandful; ++k) steady.Ask();
    const auto end = std::chrono::steady_clock::now();
    state.SetIterationTime(std::chrono::duration<double>(picks ? end - between : between - start).count() /
                           kHandful);
  }
}
void Pick(benchmark::State& state) { TimedByHand(state, true); }
void OutcomeOf(benchmark::State& state) { TimedByHand(state, false); }

// What one module holds of the heap in its steady state.
void Memory(benchmark::State& state) {
  const std::size_t before = mallinfo2().uordblks;
  const Steady steady(static_cast<int>(state.range(0)));
  const std::size_t held = mallinfo2().uordblks - before;
  for (auto _ : state) benchmark::DoNotOptimize(held);
  state.counters["bytes"] = static_cast<double>(held);
  state.counters["per_backend"] = static_cast<double>(held) / static_cast<double>(state.range(0));
}

void Sizes(benchmark::internal::Benchmark* bench) {
  for (const int backends : {12, 100, 1000, 10000}) bench->Arg(backends);
}
// A fixed number, so that callgrind counts the same work in two programs.
constexpr int kIterations = 40000;
BENCHMARK(RequestAndOutcome)->Apply(Sizes)->Iterations(kIterations)->Unit(benchmark::kMicrosecond);
BENCHMARK(Pick)->Apply(Sizes)->Iterations(kIterations)->Unit(benchmark::kMicrosecond)->UseManualTime();
BENCHMARK(OutcomeOf)->Apply(Sizes)->Iterations(kIterations)->Unit(benchmark::kMicrosecond)->UseManualTime();
BENCHMARK(Memory)->Apply(Sizes)->Iterations(1);

}  // namespace
}  // namespace copperpoint

BENCHMARK_MAIN();
