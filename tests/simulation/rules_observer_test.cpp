// SPDX-License-Identifier: Apache-2.0
//
// Tests that the checker of each rule of service reports a policy that violates the rule deliberately, and no
// policy that keeps it.
#include <gtest/gtest.h>

#include <set>

#include "lab_testing.h"

namespace copperpoint::simulation {
namespace {

TEST(RulesObserver, CompliantPolicyHasNoViolations) {
  const RunResult result = RunScripted(MinimalScenario(), OneAttempt);
  EXPECT_EQ(result.violations, 0);
  EXPECT_GT(Count(result, "served"), 50);
  EXPECT_EQ(Count(result, "served"), Count(result, "first_tries"));
}

TEST(RulesObserver, Rule1DetectsARequestWithoutAFinalResponse) {
  const RunResult result =
      RunScripted(MinimalScenario(), [](ScriptedPolicy&, TimePoint, const Event&, std::vector<Action>*) {});
  EXPECT_EQ(FirstViolatedRule(result), 1);
  EXPECT_EQ(result.violations, Count(result, "first_tries"));
  ASSERT_FALSE(result.trace.empty());
  EXPECT_NE(result.trace.back().find("without a final response"), std::string::npos) << result.trace.back();
}

TEST(RulesObserver, Rule1DetectsAnAttemptAfterTheFinalResponse) {
  const RunResult result =
      RunScripted(MinimalScenario(),
                  [](ScriptedPolicy& self, TimePoint now, const Event& event, std::vector<Action>* actions) {
                    OneAttempt(self, now, event, actions);
                    const auto* completed = std::get_if<AttemptCompleted>(&event);
                    if (completed && completed->outcome == AttemptOutcome::kSuccess)
                      actions->push_back(StartAttempt{completed->request, completed->backend, Duration(0)});
                  });
  EXPECT_EQ(FirstViolatedRule(result), 1);
}

// Times an attempt out after 5 ms and retries it, even if the class is not idempotent.
void RetryAfterTimeout(ScriptedPolicy& self, TimePoint, const Event& event, std::vector<Action>* actions) {
  if (const auto* received = std::get_if<RequestReceived>(&event))
    actions->push_back(StartAttempt{received->request, self.endpoints.begin()->first, Duration(5)});
  if (const auto* completed = std::get_if<AttemptCompleted>(&event);
      completed && !completed->request_completed) {
    if (completed->attempt == 0) {
      actions->push_back(StartAttempt{completed->request, completed->backend, Duration(0)});
    } else {
      actions->push_back(FailRequest{completed->request});
    }
  }
}

TEST(RulesObserver, Rule2DetectsARetryOfANonIdempotentRequestAfterATimeout) {
  EXPECT_EQ(FirstViolatedRule(
                RunScripted(MinimalScenario("[[class]]\nsafe = false\nwork_ms = 10\n"), RetryAfterTimeout)),
            2);
}

TEST(RulesObserver, Rule2AllowsARetryOfAnIdempotentRequest) {
  EXPECT_EQ(
      RunScripted(MinimalScenario("[[class]]\nsafe = true\nwork_ms = 10\n"), RetryAfterTimeout).violations,
      0);
}

TEST(RulesObserver, Rule2DetectsARejectionAfterTheRequestMayHaveRun) {
  const auto reject_after_timeout = [](ScriptedPolicy& self, TimePoint, const Event& event,
                                       std::vector<Action>* actions) {
    if (const auto* received = std::get_if<RequestReceived>(&event))
      actions->push_back(StartAttempt{received->request, self.endpoints.begin()->first, Duration(5)});
    if (const auto* completed = std::get_if<AttemptCompleted>(&event);
        completed && !completed->request_completed)
      actions->push_back(RejectRequest{completed->request, Duration(0)});
  };
  EXPECT_EQ(FirstViolatedRule(RunScripted(MinimalScenario("[[class]]\nsafe = false\nwork_ms = 10\n"),
                                          reject_after_timeout)),
            2);
  EXPECT_EQ(
      RunScripted(MinimalScenario("[[class]]\nsafe = true\nwork_ms = 10\n"), reject_after_timeout).violations,
      0);
}

constexpr char kReleaseScenario[] =
    "length_s = 12\n[discovery]\nnotice_ms = 100\nspread_ms = 50\n[[trouble]]\nkind = \"release\"\nat_s = "
    "2\nfor_s = 5\n"
    "part = 1\n";

TEST(RulesObserver, Rule3DetectsANewAttemptAtADrainingBackend) {
  const RunResult result = RunScripted(MinimalScenario(kReleaseScenario), OneAttempt);
  EXPECT_EQ(FirstViolatedRule(result), 3);
  EXPECT_NE(result.json["broken"][0]["what"].get<std::string>().find("after the update"), std::string::npos);
}

TEST(RulesObserver, Rule3AcceptsAPolicyThatFollowsTheEndpointList) {
  const RunResult result =
      RunScripted(MinimalScenario(kReleaseScenario),
                  [](ScriptedPolicy& self, TimePoint now, const Event& event, std::vector<Action>* actions) {
                    const auto* received = std::get_if<RequestReceived>(&event);
                    if (received && self.endpoints.begin()->second.state != EndpointState::kReady)
                      return actions->push_back(RejectRequest{received->request, Duration(0)});
                    OneAttempt(self, now, event, actions);
                  });
  EXPECT_EQ(result.violations, 0);
  EXPECT_GT(Count(result, "refused"), 20);
}

constexpr char kSlowStartScenario[] =
    "length_s = 20\n[load]\nrate = 60\n[[machine]]\ncold_from = 0.1\nwarm_up_s = 15\nfall_multiple = "
    "3\nqueue = 1000\n"
    "[discovery]\nnotice_ms = 100\nsilent_notice_ms = 100000\nspread_ms = 10\n[[trouble]]\nkind = "
    "\"vanish\"\nat_s = 2\nfor_s = 4\n";

TEST(RulesObserver, Rule4DetectsOverloadOfABackendKnownToBeInSlowStart) {
  // 60 requests of 10 ms per second are 0.6 of a backend's full capacity and 6 times its capacity at its
  // start.
  EXPECT_EQ(FirstViolatedRule(RunScripted(MinimalScenario(kSlowStartScenario), OneAttempt)), 4);
}

TEST(RulesObserver, Rule4IgnoresAProxyNotYetNotifiedOfTheStart) {
  std::string late_notice = kSlowStartScenario;
  late_notice.replace(late_notice.find("notice_ms = 100"), 15, "notice_ms = 9000");
  const RunResult result = RunScripted(MinimalScenario(late_notice), OneAttempt);
  EXPECT_EQ(result.violations, 0);
  EXPECT_GT(Count(result, "resets") + Count(result, "connect_failed"), 100)
      << "the backend was overloaded nevertheless";
}

TEST(RulesObserver, BalancerKeepsEveryRuleInTheScenariosOfTheViolations) {
  for (const char* scenario :
       {kReleaseScenario, kSlowStartScenario, "[[class]]\nsafe = false\nwork_ms = 10\n"}) {
    const RunResult result = RunWithTrace(MinimalScenario(scenario), RunOptions{});
    EXPECT_EQ(result.violations, 0) << scenario << result.json["broken"].dump(1);
  }
}

}  // namespace
}  // namespace copperpoint::simulation
