// SPDX-License-Identifier: Apache-2.0
//
// `copperpoint rollout plan`: which members would change when, how long it takes and how small a regression
// each stage detects.
#include <fmt/format.h>

#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <algorithm>
#include <cmath>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "cli/admin_client.h"
#include "cli/commands.h"
#include "cli/rollout_options.h"
#include "cli/subcommands.h"
#include "config/read.h"
#include "rollout/forecast.h"
#include "rollout/plan_parser.h"
#include "rollout/upgrade_order.h"

namespace copperpoint::cli {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kMaxListedMembers = 6;   // of one stage
constexpr double kNeverSeconds = 1e6;  // a required bake time of at least this is printed as "never"
constexpr double kUnknownRate = -1;
constexpr double kPercent = 100;

struct PlanOptions {
  std::string plan_file;
  std::string address;  // of a proxy of the fleet; without it, `members` and `zones`
  int members = 0;
  int zones = 3;
  double rate_per_s = kUnknownRate;  // over all members
  double missed_share = 0.01;        // share of requests that are not served in time at present
};

// Returns `members` made-up members, assigned to the zones in turn.
std::vector<rollout::MemberInfo> HypotheticalMembers(int members, int zones) {
  std::vector<rollout::MemberInfo> named;
  for (int i = 0; i < members; ++i) {
    const char zone = static_cast<char>('a' + i % zones);
    named.push_back({fmt::format("p{}", i + 1), std::string(1, zone)});
  }
  return named;
}

std::vector<rollout::MemberInfo> LiveMembers(const std::string& address) {
  std::vector<rollout::MemberInfo> named;
  for (const Json& member : GetAdminJson(address, "/fleet")["members"]) {
    const std::string status = member.value("status", "");
    if (status == "alive" || status == "suspect")
      named.push_back({member.value("name", ""), member.value("zone", "")});
  }
  return named;
}

std::vector<rollout::MemberInfo> MembersOf(const PlanOptions& options) {
  auto members = options.address.empty() ? HypotheticalMembers(options.members, options.zones)
                                         : LiveMembers(options.address);
  if (members.empty())
    throw std::invalid_argument(
        "the members are unknown: give --at ADDRESS of a proxy of the fleet, or --members N");
  return members;
}

double RateOf(const PlanOptions& options, std::size_t members) {
  if (options.rate_per_s >= 0) return options.rate_per_s;
  if (options.address.empty())
    throw std::invalid_argument(
        "the request rate is unknown: give --rate N, requests per second over all members, or --at ADDRESS");
  return GetAdminJson(options.address, "/rollout").value("rate_per_s", 0.0) * static_cast<double>(members);
}

// Names the members of rank `first` to `end`, exclusive, that change in a stage; only the first few.
std::string MemberList(const rollout::UpgradeOrder& order, int first, int end) {
  std::string list;
  for (int i = first; i < std::min(end, first + kMaxListedMembers); ++i)
    list += (list.empty() ? "" : " ") + order.members[static_cast<std::size_t>(i)].name;
  return end > first + kMaxListedMembers ? list + " ..." : list;
}

void PrintStage(std::size_t number, const rollout::StageForecast& forecast, const std::string& members) {
  const bool compares = forecast.baseline > 0;
  const std::string detectable = compares ? fmt::format("{:.4f}", forecast.detectable_fraction) : "-";
  const std::string required_s = forecast.required_bake_time_s < kNeverSeconds
                                     ? fmt::format("{:.0f}", forecast.required_bake_time_s)
                                     : "never";
  std::cout << fmt::format("{:<6} {:>8} {:>8} {:>10.0f} {:>11.0f} {:>12} {:>14}  {}\n", number,
                           forecast.canary, forecast.baseline, forecast.canary_requests,
                           forecast.max_duration_s, detectable, compares ? required_s : "-", members);
}

// Returns whether the stage can detect the regression that the plan guards against; prints an error if not.
bool CheckStage(const std::string& file, std::size_t number, const rollout::Plan& plan,
                const rollout::StageForecast& forecast) {
  if (forecast.baseline == 0 || forecast.detectable_fraction <= plan.guardrails.missed_fraction) return true;
  std::cerr << fmt::format(
      "copperpoint: {}: stage {}: guard.worth = {} cannot be detected in this stage (smallest detectable: "
      "{:.4f}); expected watch_s = {:.0f} or more\n",
      file, number, plan.guardrails.missed_fraction, forecast.detectable_fraction,
      std::ceil(forecast.required_bake_time_s));
  return false;
}

int ShowPlan(const PlanOptions& options) {
  const rollout::Plan plan =
      rollout::ParsePlan(config::ReadFileContents(options.plan_file), options.plan_file);
  const auto members = MembersOf(options);
  const double rate_per_s = RateOf(options, members.size());
  const rollout::UpgradeOrder order = rollout::MakeUpgradeOrder(plan, members, /*rollout_id=*/1);
  std::cout << fmt::format(
      "{}: {} to {}, {} members, {:.0f} requests per second, {:.2f}% not served in time at present\n",
      plan.name, plan.old_version, plan.new_version, members.size(), rate_per_s,
      kPercent * options.missed_share);
  std::cout << fmt::format("{:<6} {:>8} {:>8} {:>10} {:>11} {:>12} {:>14}  {}\n", "stage", "changed",
                           "others", "requests", "at_most_s", "sees_loss", "needs_watch_s", "who is new");
  std::size_t number = 0;
  int changed = 0;
  double longest_s = 0;
  bool detects = true;
  for (const rollout::StageForecast& forecast :
       rollout::ForecastStages(plan, order, rate_per_s, options.missed_share)) {
    PrintStage(++number, forecast, MemberList(order, changed, forecast.canary));
    changed = forecast.canary;
    longest_s += forecast.max_duration_s;
    detects &= CheckStage(options.plan_file, number, plan, forecast);
  }
  std::cout << fmt::format(
      "the rollout takes at most {:.0f} s, not counting the wait for watch_requests; in all stages but the "
      "last, the unchanged members are the baseline\n",
      longest_s);
  return detects ? kSuccess : kUsage;
}

}  // namespace

void AddRolloutPlanCommand(CLI::App& rollout, int* exit_code) {
  auto options = std::make_shared<PlanOptions>();
  CLI::App* plan = AddRolloutSubcommand(
      rollout, "plan", "Print which members would change when, and how small a regression each stage detects",
      "plan lab/rollout/nine.toml --members 9 --rate 300");
  plan->add_option("FILE", options->plan_file, "The plan (docs/rollout.md)")
      ->required()
      ->check(CLI::ExistingFile);
  plan->add_option("--at", options->address, "The admin address of a proxy of the fleet");
  plan->add_option("--members", options->members, "Without a fleet: number of members")
      ->check(CLI::Range(1, 32767));
  plan->add_option("--zones", options->zones, "Without a fleet: number of zones")->check(CLI::Range(1, 26));
  plan->add_option("--rate", options->rate_per_s, "Requests per second over all members");
  plan->add_option("--missed", options->missed_share,
                   "Share of requests, 0 to 1, that are not served in time today");
  plan->callback([options, exit_code] { *exit_code = ShowPlan(*options); });
}

}  // namespace copperpoint::cli
