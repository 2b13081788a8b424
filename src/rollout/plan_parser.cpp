// SPDX-License-Identifier: Apache-2.0
#include "rollout/plan_parser.h"

#include <cstddef>
#include <utility>

#include "config/schema.h"
#include "config/show.h"
#include "rollout/progress.h"

namespace copperpoint::rollout {
namespace {

// Errors that no single key shows. The texts are what operators and their scripts see.
constexpr struct ConsistencyRule {
  PlanErrorCategory category;
  const char* text;
} kEmptyStage{PlanErrorCategory::kEmptyStage, "this stage changes nobody"},
    kMissingVersion{PlanErrorCategory::kMissingVersion, "name both versions"},
    kSameVersion{PlanErrorCategory::kSameVersion, "is what runs already"},
    kNoStages{PlanErrorCategory::kNoStages, "there is none"};
constexpr ConsistencyRule kConsistencyRules[] = {kEmptyStage, kMissingVersion, kSameVersion, kNoStages};

const std::vector<std::pair<std::string, RegressionAction>>& RegressionActionNames() {
  static const std::vector<std::pair<std::string, RegressionAction>> kNames{
      {"stop", RegressionAction::kStop}, {"back", RegressionAction::kRollBack}};
  return kNames;
}

void DescribeStage(config::Visitor& v, Stage& stage) {
  v.Whole32("members", stage.members,
            {.text = "members that are upgraded when the stage ends", .most = Progress::kMaxAdmittedMembers});
  v.Number("share", stage.member_fraction, {.text = "or this fraction of them", .most = 1});
  v.Flag("each_zone", stage.one_per_zone, {.text = "or one per zone; the greatest of the three"});
  v.Number("watch_s", stage.bake_time_s,
           {.text = "bake time, at least", .unit = "s", .least = 0.1, .most = 86400});
  v.Whole("watch_requests", stage.min_canary_requests,
          {.text = "requests to the upgraded members in it, at least", .most = 1e9});
  v.Check("members", stage.members > 0 || stage.member_fraction > 0 || stage.one_per_zone, kEmptyStage.text);
}

void DescribeGuardrails(config::Visitor& v, Guardrails& guardrails) {
  v.Number(
      "worth", guardrails.missed_fraction,
      {.text = "more of the requests not served in time than in the baseline", .least = 1e-4, .most = 1});
  v.Number("slower", guardrails.above_median_fraction,
           {.text = "fraction of responses above the baseline's median latency, beyond one half",
            .least = 0.01,
            .most = 0.5});
  v.Number("tail", guardrails.above_tail_fraction,
           {.text = "the same of the baseline's 95th percentile", .least = 0.001, .most = 0.95});
  v.Number("attempts", guardrails.attempts_per_request,
           {.text = "more attempts per request", .least = 0.001, .most = 10});
  v.Number("processor", guardrails.processor_increase,
           {.text = "relative increase of processor time per request", .least = 0.05, .most = 100});
  v.Number("memory", guardrails.memory_increase,
           {.text = "relative increase of memory", .least = 0.05, .most = 100});
  v.Number("alarm", guardrails.false_alarm_probability,
           {.text = "probability of stopping a rollout without a regression", .least = 1e-6, .most = 0.2});
  v.Number("power", guardrails.power,
           {.text = "probability of detecting `worth` within one stage", .least = 0.5, .most = 0.99});
}

void DescribeTimes(config::Visitor& v, Plan& plan) {
  v.Number("settle_s", plan.settle_time_s,
           {.text = "between a stage's last upgrade and its bake time", .unit = "s", .most = 3600});
  v.Number(
      "change_s", plan.upgrade_timeout_s,
      {.text = "for one member to be ready at the new version", .unit = "s", .least = 0.5, .most = 3600});
  v.Number("silence_s", plan.contact_timeout_s,
           {.text = "an upgraded member without contact, while its zone has contact, has failed after",
            .unit = "s",
            .least = 2.5,
            .most = 3600});
  v.Number("alone_back_s", plan.isolation_timeout_s,
           {.text = "an upgraded member without contact to a majority rolls back after; 0: never",
            .unit = "s",
            .most = 86400});
  v.Number("back_step_s", plan.rollback_interval_s,
           {.text = "between rollbacks, `at_once` members at a time", .unit = "s", .most = 600});
  v.Number(
      "start_within_s", plan.start_timeout_s,
      {.text = "without a majority by then, the rollout expires", .unit = "s", .least = 1, .most = 3600});
  v.Number("limit_s", plan.time_limit_s,
           {.text = "for the complete rollout; then it stops", .unit = "s", .least = 1, .most = 1e6});
}

void DescribePlan(config::Visitor& v, Plan& plan) {
  v.Word("name", plan.name, {}, {.text = "for people"});
  v.Word("from", plan.old_version, {}, {.text = "the version that is replaced, as supervisors name it"});
  v.Word("to", plan.new_version, {}, {.text = "the version that replaces it"});
  v.Whole32("at_once", plan.max_unavailable,
            {.text = "members that may be upgrading at the same time", .least = 1, .most = 1000});
  v.Choice("on_worse", plan.on_regression, RegressionActionNames(),
           {.text = "`back`: all members roll back; `stop`: they stay at the version that they run"});
  DescribeTimes(v, plan);
  v.Tables(
      "stage", "In order.", plan.stages.size(), [&](std::size_t count) { plan.stages.resize(count); },
      [&](std::size_t i, config::Visitor& inner) { DescribeStage(inner, plan.stages[i]); });
  v.Table("guard", "The regressions that must be detected.",
          [&](config::Visitor& inner) { DescribeGuardrails(inner, plan.guardrails); });
  v.Check("to", !plan.new_version.empty() && !plan.old_version.empty(), kMissingVersion.text);
  v.Check("to", plan.new_version != plan.old_version, kSameVersion.text);
  v.Check("stage", !plan.stages.empty(), kNoStages.text);
}

PlanErrorCategory CategoryOf(const config::Fault& fault) {
  for (const ConsistencyRule& rule : kConsistencyRules)
    if (fault.what == rule.text) return rule.category;
  return fault.key.empty() ? PlanErrorCategory::kSyntax : PlanErrorCategory::kInvalidKey;
}

}  // namespace

InvalidPlan::InvalidPlan(const std::string& file, const std::vector<config::Fault>& faults)
    : config::BadFile(file, faults) {
  for (const config::Fault& fault : faults)
    errors_.push_back({CategoryOf(fault), file, fault.line, fault.key, fault.what});
}

Plan ParsePlan(std::string_view text, const std::string& file) {
  Plan plan;
  try {
    config::ReadText(text, file, [&](config::Visitor& v) { DescribePlan(v, plan); });
  } catch (const config::BadFile& error) {
    throw InvalidPlan(file, error.faults());
  }
  return plan;
}

std::string FormatPlan(const Plan& plan) {
  Plan copy = plan;  // a visitor may write, though this one doesn't
  return config::ShowValues([&](config::Visitor& v) { DescribePlan(v, copy); });
}

}  // namespace copperpoint::rollout
