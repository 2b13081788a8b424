// SPDX-License-Identifier: Apache-2.0
//
// Tests how a rollout's plan is read: the errors that operators see, and the bytes that a plan has in a
// rollout's document.
#include "rollout/plan_parser.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "rollout_testing.h"

namespace copperpoint::rollout {
namespace {

// Returns the printed message; empty if the plan is valid.
std::string ErrorTextOf(const std::string& text) {
  try {
    ParsePlan(text, "f.toml");
  } catch (const config::InvalidFile& error) {
    return error.what();
  }
  return "";
}

std::vector<PlanError> ErrorsOf(const std::string& text) {
  try {
    ParsePlan(text, "f.toml");
  } catch (const InvalidPlan& error) {
    return error.errors();
  }
  return {};
}

TEST(PlanParser, ErrorsNameLineAndKey) {
  EXPECT_NE(ErrorTextOf("from = \"a\"\nto = \"a\"\n[[stage]]\nmembers = 1\n").find("to"), std::string::npos);
  EXPECT_NE(ErrorTextOf("from = \"a\"\nto = \"b\"\nat_once = 0\n[[stage]]\nmembers = 1\n").find("f.toml:3"),
            std::string::npos);
  EXPECT_NE(ErrorTextOf("from = \"a\"\nto = \"b\"\n[[stage]]\nwatch_s = 3\n").find("upgrades no member"),
            std::string::npos);
  EXPECT_EQ(ErrorTextOf(FormatPlan(ParsePlan(kPlan, "plan"))), "");
}

TEST(PlanParser, ErrorTextsNameThePlaceAndWhatIsExpected) {
  EXPECT_EQ(ErrorTextOf("from = \"a\"\nto = \"a\"\n[[stage]]\nmembers = 1\n"),
            "f.toml:2:6: to: must differ from the version in 'from'");
  EXPECT_EQ(
      ErrorTextOf("from = \"a\"\nto = \"b\"\nat_once = 0\n[[stage]]\nwatch_s = 3\n"),
      "f.toml:3:11: at_once: 0 is out of range: 1 to 1000\n"
      "f.toml:4:1: stage[0].members: the stage upgrades no member: set 'members', 'share' or 'each_zone'");
  EXPECT_EQ(ErrorTextOf("from = \"a\"\nto = \"b\"\n"),
            "f.toml:1:1: stage: the plan has no [[stage]]; it needs at least one");
  EXPECT_EQ(
      ErrorTextOf("x = 1\non_worse = \"go\"\nsettle_s = true\n[[stage]]\nmembers = 1\nwatch = 2\n"
                  "[guard]\nworth = 2\n"),
      "f.toml:1:1: to: 'from' and 'to' must both name a version\n"
      "f.toml:1:1: to: must differ from the version in 'from'\n"
      "f.toml:1:1: x: unknown key; expected one of alone_back_s, at_once, back_step_s, change_s, from, "
      "guard, "
      "limit_s, name, on_worse, settle_s, silence_s, stage, start_within_s, to\n"
      "f.toml:2:12: on_worse: 'go' is none of stop, back\n"
      "f.toml:3:12: settle_s: expected a number, got true or false\n"
      "f.toml:6:1: stage[0].watch: unknown key; expected one of each_zone, members, share, watch_requests, "
      "watch_s\n"
      "f.toml:8:9: guard.worth: 2 is out of range: 0.0001 to 1");
}

TEST(PlanParser, ErrorsCarryCategoryFileLineAndKey) {
  const std::vector<PlanError> syntax = ErrorsOf("name = ");
  ASSERT_EQ(syntax.size(), 1u);
  EXPECT_EQ(syntax[0].category, PlanErrorCategory::kSyntax);
  EXPECT_EQ(syntax[0].key, "");

  const std::vector<PlanError> errors =
      ErrorsOf("to = \"b\"\nfrom = \"b\"\nat_once = 0\n[[stage]]\nwatch_s = 3\n");
  ASSERT_EQ(errors.size(), 3u);
  EXPECT_EQ(errors[0].category, PlanErrorCategory::kSameVersion);
  EXPECT_EQ(errors[0].file, "f.toml");
  EXPECT_EQ(errors[0].line, 1);
  EXPECT_EQ(errors[0].key, "to");
  EXPECT_EQ(errors[0].text, "must differ from the version in 'from'");
  EXPECT_EQ(errors[1].category, PlanErrorCategory::kInvalidKey);
  EXPECT_EQ(errors[1].line, 3);
  EXPECT_EQ(errors[1].key, "at_once");
  EXPECT_EQ(errors[2].category, PlanErrorCategory::kEmptyStage);
  EXPECT_EQ(errors[2].line, 4);
  EXPECT_EQ(errors[2].key, "stage[0].members");

  EXPECT_EQ(ErrorsOf("from = \"a\"\nto = \"b\"\n").at(0).category, PlanErrorCategory::kNoStages);
  EXPECT_EQ(ErrorsOf("from = \"a\"\n[[stage]]\nmembers = 1\n").at(0).category,
            PlanErrorCategory::kMissingVersion);
}

TEST(PlanParser, FormatsToItsFixedBytes) {
  const Plan plan = ParsePlan(
      "name = \"three\"\nfrom = \"v1\"\nto = \"v2\"\nsettle_s = 1\n"
      "[[stage]]\nmembers = 1\nwatch_s = 2\nwatch_requests = 1\n"
      "[[stage]]\nshare = 1.0\nwatch_s = 1\nwatch_requests = 1\n"
      "[guard]\nworth = 0.1\n",
      "plan");
  EXPECT_EQ(FormatPlan(plan), R"(alone_back_s = 60.0
at_once = 1
back_step_s = 2.0
change_s = 30.0
from = 'v1'
limit_s = 3600.0
name = 'three'
on_worse = 'back'
settle_s = 1.0
silence_s = 6.0
start_within_s = 30.0
to = 'v2'

[guard]
alarm = 0.01
attempts = 0.10000000000000001
memory = 1.0
power = 0.90000000000000002
processor = 0.5
slower = 0.14999999999999999
tail = 0.029999999999999999
worth = 0.10000000000000001

[[stage]]
each_zone = false
members = 1
share = 0.0
watch_requests = 1
watch_s = 2.0

[[stage]]
each_zone = false
members = 0
share = 1.0
watch_requests = 1
watch_s = 1.0
)");
}

TEST(PlanParser, ReadsEachKeyIntoItsField) {
  const Plan plan = ParsePlan(
      "name = \"n\"\nfrom = \"a\"\nto = \"b\"\nat_once = 2\non_worse = \"stop\"\nsettle_s = 3\nchange_s = 4\n"
      "silence_s = 5\nalone_back_s = 6\nback_step_s = 7\nstart_within_s = 8\nlimit_s = 9\n"
      "[[stage]]\nmembers = 10\nshare = 0.25\neach_zone = true\nwatch_s = 11\nwatch_requests = 12\n"
      "[guard]\nworth = 0.13\nslower = 0.14\ntail = 0.15\nattempts = 0.16\nprocessor = 0.17\nmemory = 0.18\n"
      "alarm = 0.19\npower = 0.51\n",
      "plan");
  EXPECT_EQ(plan.name, "n");
  EXPECT_EQ(plan.old_version, "a");
  EXPECT_EQ(plan.new_version, "b");
  EXPECT_EQ(plan.max_unavailable, 2);
  EXPECT_EQ(plan.on_regression, RegressionAction::kStop);
  EXPECT_EQ(plan.settle_time_s, 3);
  EXPECT_EQ(plan.upgrade_timeout_s, 4);
  EXPECT_EQ(plan.contact_timeout_s, 5);
  EXPECT_EQ(plan.isolation_timeout_s, 6);
  EXPECT_EQ(plan.rollback_interval_s, 7);
  EXPECT_EQ(plan.start_timeout_s, 8);
  EXPECT_EQ(plan.time_limit_s, 9);
  ASSERT_EQ(plan.stages.size(), 1u);
  EXPECT_EQ(plan.stages[0].members, 10);
  EXPECT_EQ(plan.stages[0].member_fraction, 0.25);
  EXPECT_TRUE(plan.stages[0].one_per_zone);
  EXPECT_EQ(plan.stages[0].bake_time_s, 11);
  EXPECT_EQ(plan.stages[0].min_canary_requests, 12);
  EXPECT_EQ(plan.guardrails.missed_fraction, 0.13);
  EXPECT_EQ(plan.guardrails.above_median_fraction, 0.14);
  EXPECT_EQ(plan.guardrails.above_tail_fraction, 0.15);
  EXPECT_EQ(plan.guardrails.attempts_per_request, 0.16);
  EXPECT_EQ(plan.guardrails.processor_increase, 0.17);
  EXPECT_EQ(plan.guardrails.memory_increase, 0.18);
  EXPECT_EQ(plan.guardrails.false_alarm_probability, 0.19);
  EXPECT_EQ(plan.guardrails.power, 0.51);
}

}  // namespace
}  // namespace copperpoint::rollout
