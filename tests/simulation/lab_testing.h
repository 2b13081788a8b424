// SPDX-License-Identifier: Apache-2.0
//
// Helpers of the simulation tests: a minimal scenario, and policies scripted by the test, which can violate a
// rule of service deliberately.
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

// One zone, one proxy and one backend of speed 1, without jitter or client retries, so that times are exact
// unless a test sets otherwise. `more` is TOML that is read on top of it.
inline Scenario MinimalScenario(const std::string& more = "") {
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

// Keeps the endpoints of the received updates and passes every event to the test's handler.
class ScriptedPolicy : public Policy {
 public:
  using Handler = std::function<void(ScriptedPolicy&, TimePoint, const Event&, std::vector<Action>*)>;
  explicit ScriptedPolicy(Handler handler) : handler_(std::move(handler)) {}
  void Handle(TimePoint now, const Event& event, std::vector<Action>* actions) override {
    if (const auto* list = std::get_if<EndpointUpdate>(&event)) {
      for (const Endpoint& e : list->endpoints) endpoints[e.backend] = e;
    }
    handler_(*this, now, event, actions);
  }
  std::map<BackendId, Endpoint> endpoints;

 private:
  Handler handler_;
};

inline RunResult RunScripted(const Scenario& scenario, const ScriptedPolicy::Handler& handler,
                             std::uint64_t seed = 1) {
  RunOptions options;
  options.policy = "scripted";
  options.seed = seed;
  options.make_policy = [&](const std::string&, PolicyContext) {
    return std::make_unique<ScriptedPolicy>(handler);
  };
  return RunWithTrace(scenario, options);
}

// A handler that keeps every rule: it makes one attempt for each request, which completes the request.
inline void OneAttempt(ScriptedPolicy& self, TimePoint, const Event& event, std::vector<Action>* actions) {
  if (const auto* received = std::get_if<RequestReceived>(&event)) {
    if (self.endpoints.empty()) return actions->push_back(RejectRequest{received->request, Duration(0)});
    actions->push_back(StartAttempt{received->request, self.endpoints.begin()->first, Duration(0)});
  }
  if (const auto* completed = std::get_if<AttemptCompleted>(&event);
      completed && !completed->request_completed)
    actions->push_back(FailRequest{completed->request});
}

// Returns the number of the rule that was violated first, 0 if there was no violation.
inline int FirstViolatedRule(const RunResult& result) {
  return result.violations == 0 ? 0 : result.json["broken"][0]["rule"].get<int>();
}

// Returns a counter of the result by its JSON key.
inline std::int64_t Count(const RunResult& result, const char* name) {
  return result.json["counts"][name].get<std::int64_t>();
}

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_TESTS_LAB_LAB_TESTING_H_
