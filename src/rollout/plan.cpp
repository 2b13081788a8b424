// SPDX-License-Identifier: Apache-2.0
#include "rollout/plan.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/math/distributions/normal.hpp>
#include <cmath>
#include <map>
#include <utility>

#include "config/read.h"
#include "config/show.h"
#include "rollout/compare.h"

namespace copperpoint::rollout {
namespace {

const std::vector<std::pair<std::string, RegressionAction>> kOnWorse{{"stop", RegressionAction::kStop},
                                                                     {"back", RegressionAction::kRollBack}};

}  // namespace

void Stage::Describe(config::Visitor& v) {
  v.Whole32("members", members, {.text = "so many members have changed when it is over", .most = 32767});
  v.Number("share", member_fraction, {.text = "or this share of them", .most = 1});
  v.Flag("each_zone", one_per_zone, {.text = "or one of each zone; the most of the three"});
  v.Number("watch_s", bake_time_s, {.text = "before the next", .unit = "s", .least = 0.1, .most = 86400});
  v.Whole("watch_requests", min_canary_requests,
          {.text = "and not before the changed members were asked so often", .most = 1e9});
  v.Check("members", members > 0 || member_fraction > 0 || one_per_zone, "this stage changes nobody");
}

void Guardrails::Describe(config::Visitor& v) {
  v.Number(
      "worth", missed_fraction,
      {.text = "more of the requests not served in time than with the others", .least = 1e-4, .most = 1});
  v.Number(
      "slower", above_median_fraction,
      {.text = "share of answers slower than the others' median, beyond a half", .least = 0.01, .most = 0.5});
  v.Number("tail", above_tail_fraction,
           {.text = "the same of the others' slowest twentieth", .least = 0.001, .most = 0.95});
  v.Number("attempts", attempts_per_request, {.text = "more attempts a request", .least = 0.001, .most = 10});
  v.Number("processor", processor_increase,
           {.text = "more processor time a request, as a share", .least = 0.05, .most = 100});
  v.Number("memory", memory_increase, {.text = "more memory, as a share", .least = 0.05, .most = 100});
  v.Number("alarm", false_alarm_probability,
           {.text = "chance that a good change is stopped, over all looks, measures and stages",
            .least = 1e-6,
            .most = 0.2});
  v.Number("power", power,
           {.text = "chance that a loss of `worth` is seen within a stage", .least = 0.5, .most = 0.99});
}

void Plan::Describe(config::Visitor& v) {
  v.Word("name", name, {}, {.text = "of the change, for people"});
  v.Word("from", old_version, {}, {.text = "the version that is replaced, as keepers know it"});
  v.Word("to", new_version, {}, {.text = "the one in its place"});
  v.Whole32("at_once", max_unavailable,
            {.text = "members that may be out at the same time", .least = 1, .most = 1000});
  v.Choice("on_worse", on_regression, kOnWorse,
           {.text = "`back`: all go back to `from`; `stop`: it stops where it stands"});
  v.Number("settle_s", settle_time_s,
           {.text = "after the last of a stage is back, before it is watched", .unit = "s", .most = 3600});
  v.Number("change_s", upgrade_timeout_s,
           {.text = "for one member to be back as the new version", .unit = "s", .least = 0.5, .most = 3600});
  v.Number("silence_s", contact_timeout_s,
           {.text = "a changed member that is not heard, where others of its zone are, counts as lost after",
            .unit = "s",
            .least = 2.5,
            .most = 3600});
  v.Number("alone_back_s", isolation_timeout_s,
           {.text = "a changed member that does not hear a majority goes back after; 0: never",
            .unit = "s",
            .most = 86400});
  v.Number("back_step_s", rollback_interval_s,
           {.text = "between members that go back, `at_once` at a time", .unit = "s", .most = 600});
  v.Number("start_within_s", start_timeout_s,
           {.text = "without a majority that holds to it by then, it ends",
            .unit = "s",
            .least = 1,
            .most = 3600});
  v.Number("limit_s", time_limit_s,
           {.text = "for the whole; then it stops", .unit = "s", .least = 1, .most = 1e6});
  v.Items("stage", "In turn.", stages);
  v.Section("guard", "What must not go unseen.", guardrails);
  v.Check("to", !new_version.empty() && !old_version.empty(), "name both versions");
  v.Check("to", new_version != old_version, "is what runs already");
  v.Check("stage", !stages.empty(), "there is none");
}

Plan ParsePlan(const std::string& text, const std::string& name_of_file) {
  return config::ReadFrom<Plan>(text, name_of_file);
}

std::string FormatPlan(const Plan& plan) {
  Plan copy = plan;
  return config::ShowValues([&](config::Visitor& v) { copy.Describe(v); });
}

int UpgradeOrder::RankOf(const std::string& name) const {
  const auto found =
      std::find_if(members.begin(), members.end(), [&](const MemberInfo& one) { return one.name == name; });
  return found == members.end() ? -1 : static_cast<int>(found - members.begin());
}

int UpgradeOrder::StageOf(int prefix) const {
  const auto found =
      std::find_if(stage_ends.begin(), stage_ends.end(), [&](int end) { return end >= prefix; });
  return found == stage_ends.end() ? static_cast<int>(stage_ends.size()) - 1
                                   : static_cast<int>(found - stage_ends.begin());
}

UpgradeOrder MakeUpgradeOrder(const Plan& plan, std::vector<MemberInfo> members, std::uint64_t change) {
  const auto rank = [&](const std::string& name) { return XXH64(name.data(), name.size(), change); };
  std::map<std::string, std::vector<MemberInfo>> zones;
  for (MemberInfo& one : members) zones[one.zone].push_back(std::move(one));
  std::vector<std::vector<MemberInfo>*> in_turn;
  for (auto& [zone, of] : zones) {
    std::sort(of.begin(), of.end(), [&](const MemberInfo& a, const MemberInfo& b) {
      return std::pair(rank(a.name), a.name) < std::pair(rank(b.name), b.name);
    });
    in_turn.push_back(&of);
  }
  std::sort(in_turn.begin(), in_turn.end(), [&](const auto* a, const auto* b) {
    return std::pair(rank(a->front().zone), a->front().zone) <
           std::pair(rank(b->front().zone), b->front().zone);
  });
  UpgradeOrder order;
  // Every zone gives in proportion to its members, the largest first, so that no prefix takes much of one
  // zone.
  std::vector<std::size_t> given(in_turn.size());
  std::size_t all = 0;
  for (const auto* zone : in_turn) all += zone->size();
  while (order.members.size() < all) {
    std::size_t next = 0;
    double most = -1;
    for (std::size_t z = 0; z < in_turn.size(); ++z) {
      const double left =
          static_cast<double>(in_turn[z]->size() - given[z]) / static_cast<double>(in_turn[z]->size());
      if (given[z] < in_turn[z]->size() && left > most + 1e-9) most = left, next = z;
    }
    order.members.push_back((*in_turn[next])[given[next]++]);
  }
  const int count = static_cast<int>(all);
  for (const Stage& stage : plan.stages) {
    int end = std::max(stage.members, static_cast<int>(std::ceil(stage.member_fraction * count - 1e-9)));
    if (stage.one_per_zone) end = std::max(end, static_cast<int>(zones.size()));
    end = std::clamp(end, order.stage_ends.empty() ? 0 : order.stage_ends.back(), count);
    order.stage_ends.push_back(end);
  }
  return order;
}

std::vector<StageForecast> ForecastStages(const Plan& plan, const UpgradeOrder& order, double rate,
                                          double missed) {
  std::vector<StageForecast> forecasts;
  const auto count = static_cast<double>(order.members.size());
  const double p = std::clamp(missed, 0.001, 0.5);
  const double power = boost::math::quantile(boost::math::normal(), plan.guardrails.power);
  const double alpha = AlphaOf(plan.guardrails, plan.stages.size(), 8);
  int before = 0;
  for (std::size_t k = 0; k < plan.stages.size(); ++k) {
    StageForecast sight;
    sight.changed = order.stage_ends[k];
    sight.others = static_cast<int>(order.members.size()) - sight.changed;
    const double each = rate / std::max(1.0, count);
    const double changed_rate = each * sight.changed, others_rate = each * sight.others;
    const double watched = std::max(
        plan.stages[k].bake_time_s,
        changed_rate > 0 ? static_cast<double>(plan.stages[k].min_canary_requests) / changed_rate : 1e9);
    sight.requests = changed_rate * watched;
    const int waves = (sight.changed - before + plan.max_unavailable - 1) / plan.max_unavailable;
    sight.max_duration_s = waves * plan.upgrade_timeout_s + plan.settle_time_s + plan.stages[k].bake_time_s;
    before = sight.changed;
    const auto seen = [&](double seconds) {
      const double n1 = changed_rate * seconds, n0 = others_rate * seconds;
      if (n1 <= 0 || n0 <= 0) return 2.0;
      const double both = n1 * n0 / (n1 + n0);
      const double v = both * p * (1 - p);
      return (Boundary(v, alpha) + power * std::sqrt(v)) / both;
    };
    sight.detectable_fraction = seen(watched);
    sight.required_bake_time_s = 1e9;
    for (double seconds = 1; seconds < 1e6 && sight.others > 0; seconds *= 1.02)
      if (seen(seconds) <= plan.guardrails.missed_fraction) {
        sight.required_bake_time_s = seconds;
        break;
      }
    forecasts.push_back(sight);
  }
  return forecasts;
}

}  // namespace copperpoint::rollout
