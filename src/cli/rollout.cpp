// SPDX-License-Identifier: Apache-2.0
//
// `copperpoint rollout`: changes of a whole fleet in stages (docs/rollout.md).
#include <fmt/format.h>

#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <algorithm>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "cli/ask.h"
#include "cli/commands.h"
#include "cli/rollout_report.h"
#include "config/read.h"
#include "fault_testing/quantile.h"
#include "fault_testing/trial.h"
#include "rollout/forecast.h"
#include "rollout/plan_parser.h"
#include "rollout/upgrade_order.h"
#include "simulation/run/compare.h"

namespace copperpoint::cli {
namespace {

using Json = nlohmann::ordered_json;

struct Options {
  std::string file, at, json, html, harm = "none", around = "calm";
  int members = 0, zones = 3, threads = 0, seeds = 1;
  double rate = -1, missed = 0.01;
  bool as_json = false;
  fault_testing::TrialOptions trial;
};

Json Parsed(const std::string& text, const std::string& of) {
  Json json = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded()) throw std::runtime_error(of + ": not JSON");
  return json;
}

// Who the change would be of: the living members of a proxy's view, or as many as were asked for.
std::vector<rollout::MemberInfo> MembersOf(const Options& options) {
  std::vector<rollout::MemberInfo> members;
  if (options.at.empty()) {
    for (int i = 0; i < options.members; ++i)
      members.push_back(
          {fmt::format("p{}", i + 1), std::string(1, static_cast<char>('a' + i % options.zones))});
    return members;
  }
  const Json view = Parsed(Ask(options.at, "/fleet"), options.at);
  for (const Json& member : view["members"]) {
    const std::string status = member.value("status", "");
    if (status == "alive" || status == "suspect")
      members.push_back({member.value("name", ""), member.value("zone", "")});
  }
  return members;
}

int ShowPlan(const Options& options) {
  const rollout::Plan plan = rollout::ParsePlan(config::Contents(options.file), options.file);
  const auto members = MembersOf(options);
  if (members.empty()) throw std::invalid_argument("whose change? --at ADDRESS, or --members N");
  double rate = options.rate;
  if (rate < 0 && !options.at.empty())
    rate = Parsed(Ask(options.at, "/rollout"), options.at).value("rate_per_s", 0.0) *
           static_cast<double>(members.size());
  if (rate < 0)
    throw std::invalid_argument("how much traffic? --rate, requests a second over all, or --at ADDRESS");
  const rollout::UpgradeOrder order = rollout::MakeUpgradeOrder(plan, members, /*rollout_id=*/1);
  const auto forecasts = rollout::ForecastStages(plan, order, rate, options.missed);
  std::cout << fmt::format("{}: {} to {}, {} members, {:.0f} requests a second, {:.2f}% missed today\n",
                           plan.name, plan.old_version, plan.new_version, members.size(), rate,
                           100 * options.missed);
  std::cout << fmt::format("{:<6} {:>8} {:>8} {:>10} {:>11} {:>12} {:>14}  {}\n", "stage", "changed",
                           "others", "requests", "at_most_s", "sees_loss", "needs_watch_s", "who is new");
  int before = 0, blind = 0;
  double longest = 0;
  for (std::size_t k = 0; k < forecasts.size(); ++k) {
    const rollout::StageForecast& forecast = forecasts[k];
    std::string who;
    for (int i = before; i < std::min(forecast.canary, before + 6); ++i)
      who += (who.empty() ? "" : " ") + order.members[static_cast<std::size_t>(i)].name;
    if (forecast.canary > before + 6) who += " ...";
    before = forecast.canary;
    longest += forecast.max_duration_s;
    const bool alone = forecast.baseline == 0;
    std::cout << fmt::format(
        "{:<6} {:>8} {:>8} {:>10.0f} {:>11.0f} {:>12} {:>14}  {}\n", k + 1, forecast.canary,
        forecast.baseline, forecast.canary_requests, forecast.max_duration_s,
        alone ? "-" : fmt::format("{:.4f}", forecast.detectable_fraction),
        alone                                 ? "-"
        : forecast.required_bake_time_s < 1e6 ? fmt::format("{:.0f}", forecast.required_bake_time_s)
                                              : "never",
        who);
    if (!alone && forecast.detectable_fraction > plan.guardrails.missed_fraction) {
      ++blind;
      std::cerr << fmt::format(
          "copperpoint: {}: stage {}: guard.worth = {} cannot be seen here, only {:.4f}; watch_s = {:.0f} "
          "would do\n",
          options.file, k + 1, plan.guardrails.missed_fraction, forecast.detectable_fraction,
          std::ceil(forecast.required_bake_time_s));
    }
  }
  std::cout << fmt::format(
      "at most {:.0f} s, without waiting for requests; the others are compared with until the last stage\n",
      longest);
  return blind ? kUsage : kDone;
}

int Try(const Options& options) {
  const std::string text = config::Contents(options.file);
  std::vector<fault_testing::TrialResult> results(static_cast<std::size_t>(options.seeds));
  simulation::InParallel(results.size(), static_cast<unsigned>(options.threads), [&](std::size_t i) {
    fault_testing::TrialOptions trial = options.trial;
    trial.tell = options.seeds == 1;
    trial.seed += i;
    results[i] = fault_testing::TryChange(text, options.file, trial);
  });
  int broken = 0, done = 0, stopped = 0;
  std::vector<double> ever, harmed, took, back;
  std::map<std::string, int> why;
  Json all = Json::array();
  for (std::size_t i = 0; i < results.size(); ++i) {
    const fault_testing::TrialResult& result = results[i];
    done += result.done;
    stopped += result.stopped;
    ever.push_back(result.ever);
    harmed.push_back(result.harmed);
    if (result.stopped) {
      took.push_back(result.ended_s - result.first_s);
      if (result.last_back_s > 0) back.push_back(result.last_back_s - result.ended_s);
      ++why[result.why.substr(0, result.why.find_first_of("0123456789"))];
    }
    all.push_back(result.Json());
    if (result.holds || ++broken > 5) continue;
    std::cout << fmt::format("seed {}: what is promised does not hold\n", options.trial.seed + i);
    for (const std::string& line : result.story) std::cout << "  " << line << '\n';
    std::cout << fmt::format(
        "  replay: copperpoint rollout try {} --harm {} --amount {} --around {} --members {}{} --seed {}\n",
        options.file, options.harm, options.trial.amount, options.around, options.trial.members,
        options.trial.faults ? " --faults" : "", options.trial.seed + i);
  }
  std::cout << fmt::format(
      "{} {} {}: {} seeds, {} done, {} stopped, {} broken; ran it {:.0f} (most {:.0f}); harmed {:.0f} (p99 "
      "{:.0f}); "
      "to the stop {:.1f} s (p99 {:.1f}), back after {:.1f} s (p99 {:.1f})\n",
      options.harm, options.trial.amount, options.around, results.size(), done, stopped, broken,
      fault_testing::Quantile(ever, 0.5), fault_testing::Quantile(ever, 1),
      fault_testing::Quantile(harmed, 0.5), fault_testing::Quantile(harmed, 0.99),
      fault_testing::Quantile(took, 0.5), fault_testing::Quantile(took, 0.99),
      fault_testing::Quantile(back, 0.5), fault_testing::Quantile(back, 0.99));
  for (const auto& [reason, times] : why) std::cout << fmt::format("  {} x {}\n", times, reason);
  if (!options.json.empty()) Write(options.json, Json{{"runs", all}}.dump(1) + '\n');
  return broken ? kFault : kDone;
}

void AddTry(CLI::App* group, const std::shared_ptr<Options>& options, int* exit_code) {
  CLI::App* trial =
      group->add_subcommand("try", "Play a plan in virtual time, with a change that is good or bad");
  trial->footer(
      "Example: copperpoint rollout try lab/rollout/fleet.toml --harm fails --amount 0.02 --seeds 100");
  trial->add_option("FILE", options->file, "The plan")->required()->check(CLI::ExistingFile);
  std::vector<std::string> harms, arounds;
  for (const auto& [name, harm] : fault_testing::HarmNames()) harms.push_back(name);
  for (const auto& [name, around] : fault_testing::AroundNames()) arounds.push_back(name);
  trial->add_option("--harm", options->harm, "What is wrong with it")->check(CLI::IsMember(harms));
  trial->add_option("--amount", options->trial.amount, "How much, in the harm's unit");
  trial->add_option("--around", options->around, "What befalls the fleet meanwhile")
      ->check(CLI::IsMember(arounds));
  trial->add_option("--members", options->trial.members, "Proxies")->check(CLI::Range(1, 2000));
  trial->add_option("--zones", options->trial.zones, "Dealt out in turn")->check(CLI::Range(1, 26));
  trial->add_option("--rate", options->trial.rate, "Requests a second and proxy")
      ->check(CLI::NonNegativeNumber);
  trial->add_option("--missed", options->trial.missed, "Share not served in time today");
  trial->add_option("--length", options->trial.length_s, "At most so many seconds");
  trial->add_flag("--faults", options->trial.faults,
                  "Cuts, kills, pauses, a second plan, an abort, by the seed");
  trial->add_option("--seed", options->trial.seed, "The first");
  trial->add_option("--seeds", options->seeds, "So many")->check(CLI::Range(1, 10000000));
  trial->add_option("--threads", options->threads, "Seeds at a time; 0: one a core");
  trial->add_option("--json", options->json, "Write all results here");
  trial->callback([options, exit_code] {
    for (const auto& [name, harm] : fault_testing::HarmNames())
      if (name == options->harm) options->trial.harm = harm;
    for (const auto& [name, around] : fault_testing::AroundNames())
      if (name == options->around) options->trial.around = around;
    *exit_code = Try(*options);
  });
}

void ShowStatus(const Json& status) {
  if (status.value("change", Json()).is_null()) {
    std::cout << "no change; this proxy runs " << status.value("version", "?") << '\n';
    return;
  }
  const Json& change = status["change"];
  std::cout << fmt::format("{}: {} to {}, {}{}, {} of {} members may have changed, begun at {}\n",
                           change.value("name", ""), change.value("from", ""), change.value("to", ""),
                           change.value("course", ""), change.value("paused", false) ? ", paused" : "",
                           change.value("may_have_changed", 0), change.value("members", 0),
                           change.value("by", ""));
  if (!status.contains("cohorts")) {
    std::cout << "this proxy does not lead it\n";
    return;
  }
  std::cout << fmt::format("{} for {:.1f} s, {} heard\n", status.value("phase", ""),
                           status.value("phase_s", 0.0), status.value("heard", 0));
  for (const char* cohort : {"changed", "others"}) {
    const Json& of = status[cohort];
    const double asked = std::max(1.0, of.value("asked", 0.0));
    std::cout << fmt::format(
        "{:<8} {:>9.0f} asked {:>8.4f} missed {:>8.4f} refused {:>8.4f} failed {:>7.3f} attempts\n", cohort,
        of.value("asked", 0.0), of.value("missed", 0.0) / asked, of.value("refused", 0.0) / asked,
        of.value("failed", 0.0) / asked, of.value("attempts", 0.0) / asked);
  }
  for (const Json& member : status["cohorts"])
    std::cout << fmt::format("{:<16} {:<6} {:<8} {:<12} {:<9} heard {:>6.1f} s ago, {} crashes\n",
                             member.value("name", ""), member.value("zone", ""),
                             member.value("allowed", false) ? "changed" : "-", member.value("version", ""),
                             member.value("ready", false) ? "ready" : "not ready",
                             member.value("heard_s", 0.0), member.value("crashes", 0));
}

}  // namespace

void AddRollout(CLI::App& app, int* exit_code) {
  auto options = std::make_shared<Options>();
  CLI::App* group =
      app.add_subcommand("rollout", "Change the program or its settings on a whole fleet, in stages");
  group->require_subcommand(1);
  const auto add = [&](const char* name, const char* what, const char* example) {
    CLI::App* sub = group->add_subcommand(name, what);
    sub->footer(std::string("Example: copperpoint rollout ") + example);
    return sub;
  };
  const auto address = [&](CLI::App* sub) {
    sub->add_option("ADDRESS", options->at, "The operator's address of any proxy of the fleet")->required();
  };
  CLI::App* plan = add("plan", "Who would change when, how long it takes, how small a harm it can see",
                       "plan lab/rollout/nine.toml --members 9 --rate 300");
  plan->add_option("FILE", options->file, "The plan (docs/rollout.md)")->required()->check(CLI::ExistingFile);
  plan->add_option("--at", options->at, "The operator's address of a proxy of the fleet");
  plan->add_option("--members", options->members, "Without a fleet: so many")->check(CLI::Range(1, 32767));
  plan->add_option("--zones", options->zones, "Without a fleet: dealt out in turn")->check(CLI::Range(1, 26));
  plan->add_option("--rate", options->rate, "Requests a second over all");
  plan->add_option("--missed", options->missed, "Share that is not served in time today");
  plan->callback([options, exit_code] { *exit_code = ShowPlan(*options); });

  CLI::App* start = add("start", "Begin a change", "start change.toml 127.0.0.1:9901");
  start->add_option("FILE", options->file, "The plan")->required()->check(CLI::ExistingFile);
  address(start);
  start->callback([options] {
    const std::string text = config::Contents(options->file);
    rollout::ParsePlan(text, options->file);
    std::cout << Ask(options->at, "/rollout/start", /*post=*/true, text);
  });
  for (const char* what : {"pause", "resume", "abort"}) {
    CLI::App* sub = add(what,
                        what == std::string("abort") ? "Stop the change for good and take it back"
                                                     : "Let no further member change, or go on",
                        (std::string(what) + " 127.0.0.1:9901").c_str());
    address(sub);
    sub->callback(
        [options, what] { std::cout << Ask(options->at, std::string("/rollout/") + what, /*post=*/true); });
  }
  CLI::App* status =
      add("status", "How far the change has gone, both cohorts side by side", "status 127.0.0.1:9901");
  address(status);
  status->add_flag("--json", options->as_json, "As the proxy says it");
  status->callback([options] {
    const std::string said = Ask(options->at, "/rollout");
    options->as_json ? void(std::cout << said) : ShowStatus(Parsed(said, options->at));
  });
  CLI::App* history =
      add("history", "What was decided, when and why", "history 127.0.0.1:9901 --html change.html");
  address(history);
  history->add_option("--html", options->html, "Write one page that needs nothing else");
  history->callback([options] {
    const Json status_now = Parsed(Ask(options->at, "/rollout"), options->at);
    const Json steps = Parsed(Ask(options->at, "/rollout/history"), options->at);
    for (const Json& step : steps)
      std::cout << fmt::format("{:>9.1f} s  {:<10} {:>4}  {} ({})\n", step.value("at_s", 0.0),
                               step.value("what", ""), step.value("prefix", 0), step.value("why", ""),
                               step.value("by", ""));
    if (!options->html.empty()) Write(options->html, RolloutReport(status_now, steps));
  });
  AddTry(group, options, exit_code);
}

}  // namespace copperpoint::cli
