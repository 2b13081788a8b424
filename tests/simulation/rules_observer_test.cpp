// SPDX-License-Identifier: Apache-2.0
//
// Each rule's judge against a policy that breaks it on purpose.
#include <gtest/gtest.h>

#include <set>

#include "lab_testing.h"

namespace copperpoint::simulation {
namespace {

TEST(RulesObserver, APolicyThatKeepsThemIsNotAccused) {
  const RunResult result = RunScripted(Plain(), OneAttempt);
  EXPECT_EQ(result.violations, 0);
  EXPECT_GT(Count(result, "served"), 50);
  EXPECT_EQ(Count(result, "served"), Count(result, "first_tries"));
}

TEST(RulesObserver, Rule1NoFinalAnswer) {
  const RunResult result =
      RunScripted(Plain(), [](Scripted&, TimePoint, const Event&, std::vector<Action>*) {});
  EXPECT_EQ(RuleBroken(result), 1);
  EXPECT_EQ(result.violations, Count(result, "first_tries"));
  ASSERT_FALSE(result.trace.empty());
  EXPECT_NE(result.trace.back().find("without a final response"), std::string::npos) << result.trace.back();
}

TEST(RulesObserver, Rule1SentAfterTheFinalAnswer) {
  const RunResult result = RunScripted(
      Plain(), [](Scripted& self, TimePoint now, const Event& event, std::vector<Action>* actions) {
        OneAttempt(self, now, event, actions);
        const auto* end = std::get_if<AttemptCompleted>(&event);
        if (end && end->outcome == AttemptOutcome::kSuccess)
          actions->push_back(StartAttempt{end->request, end->backend, Duration(0)});
      });
  EXPECT_EQ(RuleBroken(result), 1);
}

// Times out early and sends again, whatever the class allows.
void Impatient(Scripted& self, TimePoint, const Event& event, std::vector<Action>* actions) {
  if (const auto* submit = std::get_if<RequestReceived>(&event))
    actions->push_back(StartAttempt{submit->request, self.known.begin()->first, Duration(5)});
  if (const auto* end = std::get_if<AttemptCompleted>(&event); end && !end->request_completed) {
    if (end->attempt == 0) {
      actions->push_back(StartAttempt{end->request, end->backend, Duration(0)});
    } else {
      actions->push_back(FailRequest{end->request});
    }
  }
}

TEST(RulesObserver, Rule2AnUnsafeRequestSentAgainAfterATimeOut) {
  EXPECT_EQ(RuleBroken(RunScripted(Plain("[[class]]\nsafe = false\nwork_ms = 10\n"), Impatient)), 2);
}

TEST(RulesObserver, Rule2ASafeRequestMayBeSentAgain) {
  EXPECT_EQ(RunScripted(Plain("[[class]]\nsafe = true\nwork_ms = 10\n"), Impatient).violations, 0);
}

TEST(RulesObserver, Rule2ARefusalAfterItMayHaveRun) {
  const auto refuse = [](Scripted& self, TimePoint, const Event& event, std::vector<Action>* actions) {
    if (const auto* submit = std::get_if<RequestReceived>(&event))
      actions->push_back(StartAttempt{submit->request, self.known.begin()->first, Duration(5)});
    if (const auto* end = std::get_if<AttemptCompleted>(&event); end && !end->request_completed)
      actions->push_back(RejectRequest{end->request, Duration(0)});
  };
  EXPECT_EQ(RuleBroken(RunScripted(Plain("[[class]]\nsafe = false\nwork_ms = 10\n"), refuse)), 2);
  EXPECT_EQ(RunScripted(Plain("[[class]]\nsafe = true\nwork_ms = 10\n"), refuse).violations, 0);
}

constexpr char kRelease[] =
    "length_s = 12\n[discovery]\nnotice_ms = 100\nspread_ms = 50\n[[trouble]]\nkind = \"release\"\nat_s = "
    "2\nfor_s = 5\n"
    "part = 1\n";

TEST(RulesObserver, Rule3ANewSendToADrainingBackend) {
  const RunResult result = RunScripted(Plain(kRelease), OneAttempt);
  EXPECT_EQ(RuleBroken(result), 3);
  EXPECT_NE(result.json["broken"][0]["what"].get<std::string>().find("after the update"), std::string::npos);
}

TEST(RulesObserver, Rule3IsKeptByOneThatHeedsTheList) {
  const RunResult result = RunScripted(
      Plain(kRelease), [](Scripted& self, TimePoint now, const Event& event, std::vector<Action>* actions) {
        const auto* submit = std::get_if<RequestReceived>(&event);
        if (submit && self.known.begin()->second.state != EndpointState::kReady)
          return actions->push_back(RejectRequest{submit->request, Duration(0)});
        OneAttempt(self, now, event, actions);
      });
  EXPECT_EQ(result.violations, 0);
  EXPECT_GT(Count(result, "refused"), 20);
}

constexpr char kCold[] =
    "length_s = 20\n[load]\nrate = 60\n[[machine]]\ncold_from = 0.1\nwarm_up_s = 15\nfall_multiple = "
    "3\nqueue = 1000\n"
    "[discovery]\nnotice_ms = 100\nsilent_notice_ms = 100000\nspread_ms = 10\n[[trouble]]\nkind = "
    "\"vanish\"\nat_s = 2\nfor_s = 4\n";

TEST(RulesObserver, Rule4AColdBackendFloodedByOneThatKnew) {
  // 60 requests of 10 ms a second are 0.6 of a warm machine, and 6 times what it can do at its start.
  EXPECT_EQ(RuleBroken(RunScripted(Plain(kCold), OneAttempt)), 4);
}

TEST(RulesObserver, Rule4SparesOneThatHasNotHeardOfTheStart) {
  std::string late = kCold;
  late.replace(late.find("notice_ms = 100"), 15, "notice_ms = 9000");
  const RunResult result = RunScripted(Plain(late), OneAttempt);
  EXPECT_EQ(result.violations, 0);
  EXPECT_GT(Count(result, "resets") + Count(result, "connect_failed"), 100) << "it fell over all the same";
}

TEST(RulesObserver, OurModuleKeepsThemAllWhereTheOthersBrokeThem) {
  for (const char* scenario : {kRelease, kCold, "[[class]]\nsafe = false\nwork_ms = 10\n"}) {
    const RunResult result = RunWithTrace(Plain(scenario), RunOptions{});
    EXPECT_EQ(result.violations, 0) << scenario << result.json["broken"].dump(1);
  }
}

}  // namespace
}  // namespace copperpoint::simulation
