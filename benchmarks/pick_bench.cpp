// SPDX-License-Identifier: Apache-2.0
//
// What the decision module costs as the fleet grows: one request with its outcome, while half as many
// requests are out as there are backends, and answers take 20 ms. Read the ratios within one run.
#include <benchmark/benchmark.h>

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
  lookup.effect = Effect::kSafe;
  lookup.aim = Duration(500);
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
    ListUpdate list{ListKind::kFull, {}};
    for (int i = 0; i < backends; ++i) {
      ServerEntry entry;
      entry.server = static_cast<ServerId>(i);
      list.entries.push_back(entry);
    }
    Handle(list);
    gap_ = kAnswer / static_cast<double>(out_at_once_);
    // Long enough for the module's averages and its subset to have settled.
    for (std::size_t i = 0; i < out_at_once_ * 6 + 5000; ++i) Turn();
  }

  // One request comes, the oldest one out is answered.
  void Turn() {
    now_ += gap_;
    while (!out_.empty() && out_.front().due <= now_) {
      AttemptEnded end;
      end.request = out_.front().request;
      end.server = out_.front().server;
      end.settled = true;
      end.outcome = Outcome::kOk;
      end.took = kAnswer;
      out_.pop_front();
      Handle(end);
    }
    Submit submit;
    submit.request = ++last_;
    submit.due = now_ + Duration(2500);
    submit.has_hint = true;
    submit.work_ms = 10;
    Handle(submit);
  }

 private:
  struct Out {
    TimePoint due;
    RequestId request;
    ServerId server;
  };
  void Handle(const Event& event) {
    actions_.clear();
    balancer_.Handle(now_, event, &actions_);
    for (const Action& action : actions_) {
      if (const auto* dispatch = std::get_if<Dispatch>(&action))
        out_.push_back({now_ + kAnswer, dispatch->request, dispatch->server});
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

void RequestAndOutcome(benchmark::State& state) {
  // One for each size: the benchmark calls this again and again to find how often it has to.
  static std::map<std::int64_t, Steady> all;
  Steady& steady = all.try_emplace(state.range(0), static_cast<int>(state.range(0))).first->second;
  for (auto _ : state) steady.Turn();
}
BENCHMARK(RequestAndOutcome)->Arg(12)->Arg(100)->Arg(1000)->Arg(10000)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace copperpoint

BENCHMARK_MAIN();
