// SPDX-License-Identifier: Apache-2.0
//
// Short scenarios for tests, and policies that break a rule on purpose.
#ifndef COPPERPOINT_TESTS_LAB_LAB_TESTING_H_
#define COPPERPOINT_TESTS_LAB_LAB_TESTING_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "config/read.h"
#include "simulation/run/run.h"
#include "simulation/scenario/scenario.h"

namespace copperpoint::simulation {

// One zone, one proxy, one backend of speed 1, no jitter, no repeats: what a test does not set is exact.
inline Scenario Plain(const std::string& more = "") {
  Scenario s;
  s.title = "plain";
  s.length_s = 5;
  s.load.rate = 20;
  s.load.hint_error = 0;
  s.classes[0].work_ms = 10;
  s.classes[0].distribution = "constant";
  s.classes[0].attempt_noise = 0;
  s.classes[0].deadline_ms = 1000;
  s.classes[0].latency_objective_ms = 500;
  s.clients.retry = ClientRetryMode::kNone;
  s.fleet.backends = 1;
  s.fleet.proxies = 1;
  s.network = {0, 0, 0, 0, 0, 200, 0, 200, 60};
  if (!more.empty()) config::ParseText(more, "test", [&](config::FieldVisitor& v) { s.Describe(v); });
  return s;
}

// Sends each request to the first backend listed; what else it does is up to the test.
class Scripted : public Policy {
 public:
  using React = std::function<void(Scripted&, TimePoint, const Event&, std::vector<Action>*)>;
  explicit Scripted(React react) : react_(std::move(react)) {}
  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions) override {
    if (const auto* list = std::get_if<EndpointUpdate>(&event)) {
      for (const Endpoint& e : list->endpoints) known[e.backend] = e;
    }
    react_(*this, now, event, actions);
  }
  std::map<BackendId, Endpoint> known;

 private:
  React react_;
};

inline RunResult RunScripted(const Scenario& scenario, const Scripted::React& react, std::uint64_t seed = 1) {
  RunOptions options;
  options.policy = "scripted";
  options.seed = seed;
  options.make_policy = [&](const std::string&, PolicyContext) { return std::make_unique<Scripted>(react); };
  return RunWithTrace(scenario, options);
}

// A policy that keeps every rule: one attempt, and its end is the request's.
inline void OneAttempt(Scripted& self, TimePoint, const Event& event, std::vector<Action>* actions) {
  if (const auto* submit = std::get_if<RequestReceived>(&event)) {
    if (self.known.empty()) return actions->push_back(RejectRequest{submit->request, Duration(0)});
    actions->push_back(StartAttempt{submit->request, self.known.begin()->first, Duration(0)});
  }
  if (const auto* end = std::get_if<AttemptCompleted>(&event); end && !end->request_completed)
    actions->push_back(FailRequest{end->request});
}

inline int RuleBroken(const RunResult& result) {
  return result.violations == 0 ? 0 : result.json["broken"][0]["rule"].get<int>();
}

inline std::int64_t Count(const RunResult& result, const char* name) {
  return result.json["counts"][name].get<std::int64_t>();
}

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_TESTS_LAB_LAB_TESTING_H_
