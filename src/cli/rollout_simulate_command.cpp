// SPDX-License-Identifier: Apache-2.0
//
// `copperpoint rollout simulate`: plays a plan in virtual time over several seeds, with a new version that is
// good or faulty.
#include <fmt/format.h>

#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <cstdint>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "cli/commands.h"
#include "cli/output_file.h"
#include "cli/rollout_options.h"
#include "cli/subcommands.h"
#include "config/read.h"
#include "fault_testing/quantile.h"
#include "fault_testing/simulate_rollout.h"
#include "simulation/run/parallel.h"

namespace copperpoint::cli {
namespace {

using Json = nlohmann::ordered_json;
using fault_testing::Quantile;

constexpr int kMaxPrintedFailures = 5;
constexpr double kMedian = 0.5;
constexpr double kHighPercentile = 0.99;
constexpr double kMaximum = 1;

struct SimulateOptions {
  std::string plan_file;
  std::string json_file;
  std::string fault = "none";
  std::string environment = "calm";
  int threads = 0;  // 0: one for each core
  int seeds = 1;
  fault_testing::TrialOptions trial;
};

// Results over the seeds.
struct TrialStatistics {
  int done = 0;
  int stopped = 0;
  int failed = 0;
  std::vector<double> members_changed;
  std::vector<double> requests_harmed;
  std::vector<double> time_to_stop_s;
  std::vector<double> time_to_roll_back_s;
  std::map<std::string, int> stop_reasons;
};

std::vector<fault_testing::TrialResult> PlaySeeds(const SimulateOptions& options) {
  const std::string plan = config::ReadFileContents(options.plan_file);
  std::vector<fault_testing::TrialResult> results(static_cast<std::size_t>(options.seeds));
  simulation::RunInParallel(results.size(), static_cast<unsigned>(options.threads), [&](std::size_t i) {
    fault_testing::TrialOptions trial = options.trial;
    trial.record_events = options.seeds == 1;
    trial.seed += i;
    results[i] = fault_testing::SimulateRollout(plan, options.plan_file, trial);
  });
  return results;
}

void AddToStatistics(const fault_testing::TrialResult& result, TrialStatistics* statistics) {
  statistics->done += result.done;
  statistics->stopped += result.stopped;
  statistics->failed += !result.holds;
  statistics->members_changed.push_back(result.ever);
  statistics->requests_harmed.push_back(result.harmed);
  if (!result.stopped) return;
  statistics->time_to_stop_s.push_back(result.ended_s - result.first_s);
  if (result.last_back_s > 0) statistics->time_to_roll_back_s.push_back(result.last_back_s - result.ended_s);
  // Reasons are counted without their figures, which differ between runs.
  ++statistics->stop_reasons[result.why.substr(0, result.why.find_first_of("0123456789"))];
}

void PrintFailure(const SimulateOptions& options, std::uint64_t seed,
                  const fault_testing::TrialResult& result) {
  std::cout << fmt::format("seed {}: a property does not hold\n", seed);
  for (const std::string& line : result.story) std::cout << "  " << line << '\n';
  std::cout << fmt::format(
      "  replay: copperpoint rollout simulate {} --fault {} --amount {} --environment {} --members {}{} "
      "--seed "
      "{}\n",
      options.plan_file, options.fault, options.trial.amount, options.environment, options.trial.members,
      options.trial.member_faults ? " --member-faults" : "", seed);
}

void PrintStatistics(const SimulateOptions& options, const TrialStatistics& statistics) {
  std::cout << fmt::format(
      "{} {} {}: {} seeds, {} done, {} stopped, {} failed; members changed {:.0f} (max {:.0f}); requests "
      "harmed {:.0f} (p99 {:.0f}); time to stop {:.1f} s (p99 {:.1f}), time to roll back {:.1f} s (p99 "
      "{:.1f})\n",
      options.fault, options.trial.amount, options.environment, options.seeds, statistics.done,
      statistics.stopped, statistics.failed, Quantile(statistics.members_changed, kMedian),
      Quantile(statistics.members_changed, kMaximum), Quantile(statistics.requests_harmed, kMedian),
      Quantile(statistics.requests_harmed, kHighPercentile), Quantile(statistics.time_to_stop_s, kMedian),
      Quantile(statistics.time_to_stop_s, kHighPercentile), Quantile(statistics.time_to_roll_back_s, kMedian),
      Quantile(statistics.time_to_roll_back_s, kHighPercentile));
  for (const auto& [reason, count] : statistics.stop_reasons)
    std::cout << fmt::format("  {} x {}\n", count, reason);
}

int Simulate(const SimulateOptions& options) {
  const std::vector<fault_testing::TrialResult> results = PlaySeeds(options);
  TrialStatistics statistics;
  Json runs = Json::array();
  for (std::size_t i = 0; i < results.size(); ++i) {
    AddToStatistics(results[i], &statistics);
    runs.push_back(results[i].Json());
    if (!results[i].holds && statistics.failed <= kMaxPrintedFailures)
      PrintFailure(options, options.trial.seed + i, results[i]);
  }
  PrintStatistics(options, statistics);
  if (!options.json_file.empty()) WriteOutputFile(options.json_file, Json{{"runs", runs}}.dump(1) + '\n');
  return statistics.failed > 0 ? kFailure : kSuccess;
}

template <typename Value>
std::vector<std::string> NamesOf(const std::vector<std::pair<std::string, Value>>& values) {
  std::vector<std::string> names;
  names.reserve(values.size());
  for (const auto& [name, value] : values) names.push_back(name);
  return names;
}

// `name` is one of `values`, which the parser has checked.
template <typename Value>
Value ValueOf(const std::string& name, const std::vector<std::pair<std::string, Value>>& values) {
  for (const auto& [candidate, value] : values) {
    if (candidate == name) return value;
  }
  return Value{};
}

void AddFaultOptions(CLI::App* simulate, SimulateOptions* options) {
  simulate->add_option("--fault", options->fault, "What is wrong with the new version")
      ->check(CLI::IsMember(NamesOf(fault_testing::RegressionNames())));
  simulate->add_option("--amount", options->trial.amount, "Size of the fault, in its unit");
  simulate->add_option("--environment", options->environment, "What happens to the fleet during the change")
      ->check(CLI::IsMember(NamesOf(fault_testing::EnvironmentNames())));
  simulate->add_flag("--member-faults", options->trial.member_faults,
                     "Partitions, kills, pauses, a second plan and an abort, drawn from the seed");
}

void AddFleetOptions(CLI::App* simulate, SimulateOptions* options) {
  simulate->add_option("--members", options->trial.members, "Proxies")->check(CLI::Range(1, 2000));
  simulate->add_option("--zones", options->trial.zones, "Number of zones, of equal size")
      ->check(CLI::Range(1, 26));
  simulate->add_option("--rate", options->trial.rate, "Requests per second of each proxy")
      ->check(CLI::NonNegativeNumber);
  simulate->add_option("--missed", options->trial.missed_share,
                       "Share of requests, 0 to 1, that are not served in time today");
  simulate->add_option("--length", options->trial.length_s, "Maximum length in seconds");
}

void AddRunOptions(CLI::App* simulate, SimulateOptions* options) {
  simulate->add_option("--seed", options->trial.seed, "The first seed");
  simulate->add_option("--seeds", options->seeds, "Number of seeds")->check(CLI::Range(1, 10000000));
  simulate->add_option("--threads", options->threads, "Concurrent seeds; 0: one for each core");
  simulate->add_option("--json", options->json_file, "Write all results to this file");
}

}  // namespace

void AddRolloutSimulateCommand(CLI::App& rollout, int* exit_code) {
  auto options = std::make_shared<SimulateOptions>();
  CLI::App* simulate = AddRolloutSubcommand(
      rollout, "simulate", "Play a plan in virtual time, with a new version that is good or faulty",
      "simulate lab/rollout/fleet.toml --fault fails --amount 0.02 --seeds 100");
  simulate->add_option("FILE", options->plan_file, "The plan")->required()->check(CLI::ExistingFile);
  AddFaultOptions(simulate, options.get());
  AddFleetOptions(simulate, options.get());
  AddRunOptions(simulate, options.get());
  simulate->callback([options, exit_code] {
    options->trial.regression = ValueOf(options->fault, fault_testing::RegressionNames());
    options->trial.environment = ValueOf(options->environment, fault_testing::EnvironmentNames());
    *exit_code = Simulate(*options);
  });
}

}  // namespace copperpoint::cli
