// SPDX-License-Identifier: Apache-2.0
#include "rollout/plan_parser.h"

#include <cstddef>
#include <utility>

#include "config/schema.h"
#include "config/show.h"
#include "rollout/progress.h"

namespace copperpoint::rollout {
namespace {

// Errors that follow from several keys together. The texts are part of the messages that operators see, and
// identify the category (CategoryOf).
constexpr struct ConsistencyRule {
  PlanErrorCategory category;
  const char* text;
} kEmptyStage{PlanErrorCategory::kEmptyStage,
              "the stage upgrades no member: set 'members', 'share' or 'each_zone'"},
    kMissingVersion{PlanErrorCategory::kMissingVersion, "'from' and 'to' must both name a version"},
    kSameVersion{PlanErrorCategory::kSameVersion, "must differ from the version in 'from'"},
    kNoStages{PlanErrorCategory::kNoStages, "the plan has no [[stage]]; it needs at least one"};
constexpr ConsistencyRule kConsistencyRules[] = {kEmptyStage, kMissingVersion, kSameVersion, kNoStages};

const std::vector<std::pair<std::string, RegressionAction>>& RegressionActionNames() {
  static const std::vector<std::pair<std::string, RegressionAction>> kNames{
      {"stop", RegressionAction::kStop}, {"back", RegressionAction::kRollBack}};
  return kNames;
}

void DescribeStage(config::FieldVisitor& v, Stage& stage) {
  v.Int32(
      "members", stage.members,
      {.text = "number of members that are upgraded when the stage ends; the greatest of `members`, `share` "
               "and `each_zone` applies",
       .max = Progress::kMaxAdmittedMembers});
  v.Number("share", stage.member_fraction, {.text = "the same as a fraction of all members", .max = 1});
  v.Boolean("each_zone", stage.one_per_zone, {.text = "the same as one member per zone"});
  v.Number("watch_s", stage.bake_time_s,
           {.text = "minimum bake time", .unit = "s", .min = 0.1, .max = 86400});
  v.Integer("watch_requests", stage.min_canary_requests,
            {.text = "minimum number of requests to the upgraded members in the bake time", .max = 1e9});
  v.Require("members", stage.members > 0 || stage.member_fraction > 0 || stage.one_per_zone,
            kEmptyStage.text);
}

void DescribeGuardrails(config::FieldVisitor& v, Guardrails& guardrails) {
  v.Number("worth", guardrails.missed_fraction,
           {.text = "increase of the fraction of requests that are not served before their deadline",
            .min = 1e-4,
            .max = 1});
  v.Number(
      "slower", guardrails.above_median_fraction,
      {.text = "increase of the fraction of responses above the baseline's median latency, from one half",
       .min = 0.01,
       .max = 0.5});
  v.Number("tail", guardrails.above_tail_fraction,
           {.text = "increase of the fraction of responses above the baseline's 95th percentile, from 0.05",
            .min = 0.001,
            .max = 0.95});
  v.Number("attempts", guardrails.attempts_per_request,
           {.text = "increase of the attempts per request", .min = 0.001, .max = 10});
  v.Number("processor", guardrails.processor_increase,
           {.text = "relative increase of processor time per request", .min = 0.05, .max = 100});
  v.Number("memory", guardrails.memory_increase,
           {.text = "relative increase of memory", .min = 0.05, .max = 100});
  v.Number("alarm", guardrails.false_alarm_probability,
           {.text = "probability of stopping a rollout without a regression", .min = 1e-6, .max = 0.2});
  v.Number("power", guardrails.power,
           {.text = "probability of detecting `worth` within one stage", .min = 0.5, .max = 0.99});
}

void DescribeTimes(config::FieldVisitor& v, Plan& plan) {
  v.Number("settle_s", plan.settle_time_s,
           {.text = "time between a stage's last upgrade and its bake time", .unit = "s", .max = 3600});
  v.Number("change_s", plan.upgrade_timeout_s,
           {.text = "time within which a member must be ready at the new version",
            .unit = "s",
            .min = 0.5,
            .max = 3600});
  v.Number(
      "silence_s", plan.contact_timeout_s,
      {.text = "an upgraded member has failed after this time without contact while its zone has contact",
       .unit = "s",
       .min = 2.5,
       .max = 3600});
  v.Number("alone_back_s", plan.isolation_timeout_s,
           {.text = "an upgraded member rolls back after this time without contact to a majority; 0: never",
            .unit = "s",
            .max = 86400});
  v.Number("back_step_s", plan.rollback_interval_s,
           {.text = "time between rollbacks of `at_once` members each", .unit = "s", .max = 600});
  v.Number("start_within_s", plan.start_timeout_s,
           {.text = "the rollout expires if no member was admitted within this time",
            .unit = "s",
            .min = 1,
            .max = 3600});
  v.Number("limit_s", plan.time_limit_s,
           {.text = "the rollout stops if it takes longer than this", .unit = "s", .min = 1, .max = 1e6});
}

void DescribePlan(config::FieldVisitor& v, Plan& plan) {
  v.Text("name", plan.name, {}, {.text = "name of the rollout, for display only"});
  v.Text("from", plan.old_version, {}, {.text = "the version that is replaced, as supervisors name it"});
  v.Text("to", plan.new_version, {}, {.text = "the version that replaces it"});
  v.Int32("at_once", plan.max_unavailable,
          {.text = "members that may be upgrading at the same time", .min = 1, .max = 1000});
  v.Enum(
      "on_worse", plan.on_regression, RegressionActionNames(),
      {.text =
           "on a regression, `back`: all members roll back; `stop`: they stay at the version that they run"});
  DescribeTimes(v, plan);
  v.TableArray(
      "stage", "The stages, in their order.", plan.stages.size(),
      [&](std::size_t count) { plan.stages.resize(count); },
      [&](std::size_t i, config::FieldVisitor& inner) { DescribeStage(inner, plan.stages[i]); });
  v.Table("guard", "The regressions that must be detected.",
          [&](config::FieldVisitor& inner) { DescribeGuardrails(inner, plan.guardrails); });
  v.Require("to", !plan.new_version.empty() && !plan.old_version.empty(), kMissingVersion.text);
  v.Require("to", plan.new_version != plan.old_version, kSameVersion.text);
  v.Require("stage", !plan.stages.empty(), kNoStages.text);
}

PlanErrorCategory CategoryOf(const config::Diagnostic& diagnostic) {
  for (const ConsistencyRule& rule : kConsistencyRules)
    if (diagnostic.message == rule.text) return rule.category;
  return diagnostic.key.empty() ? PlanErrorCategory::kSyntax : PlanErrorCategory::kInvalidKey;
}

}  // namespace

InvalidPlan::InvalidPlan(const std::string& file, const std::vector<config::Diagnostic>& diagnostics)
    : config::InvalidFile(file, diagnostics) {
  for (const config::Diagnostic& diagnostic : diagnostics)
    errors_.push_back({CategoryOf(diagnostic), file, diagnostic.line, diagnostic.key, diagnostic.message});
}

Plan ParsePlan(std::string_view text, const std::string& file) {
  Plan plan;
  try {
    config::ParseText(text, file, [&](config::FieldVisitor& v) { DescribePlan(v, plan); });
  } catch (const config::InvalidFile& error) {
    throw InvalidPlan(file, error.diagnostics());
  }
  return plan;
}

std::string FormatPlan(const Plan& plan) {
  Plan copy = plan;  // The visitor interface takes mutable fields, though this visitor does not change them.
  return config::FormatValues([&](config::FieldVisitor& v) { DescribePlan(v, copy); });
}

}  // namespace copperpoint::rollout
