// SPDX-License-Identifier: Apache-2.0
//
// `copperpoint fault-test run`: plays a fault test, with processes or in virtual time, and checks its
// properties.
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <cstdint>
#include <filesystem>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cli/commands.h"
#include "cli/output_file.h"
#include "cli/subcommands.h"
#include "fault_testing/plan.h"
#include "fault_testing/processes/play.h"
#include "fault_testing/quantile.h"
#include "fault_testing/virtual.h"
#include "simulation/run/parallel.h"

namespace copperpoint::cli {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kMaxProcesses = 100;
constexpr int kMaxPrintedFailures = 5;
constexpr double kMedian = 0.5;
constexpr double kHighPercentile = 0.99;
constexpr double kMaximum = 1;

struct FaultTestOptions {
  std::string file;
  std::string json_file;
  std::uint64_t seed = 1;
  int seeds = 1;
  int members = 0;   // 0: as the file says
  int backends = 0;  // 0: as the file says
  int threads = 0;   // 0: one for each core
  bool in_virtual_time = false;
  bool alone = false;
  bool settled = false;
  std::string log_folder;
  std::string other_program;
  std::string other_settings;
  std::vector<std::string> without;  // mechanisms of the membership that are switched off
};

void SwitchOff(const std::string& mechanism, membership::Options* options) {
  if (mechanism == "suspicion") options->with_suspicion = false;
  if (mechanism == "own_time") options->with_delayed_wakeups = false;
  if (mechanism == "helpers") options->with_indirect_probes = false;
  if (mechanism == "sync") options->with_anti_entropy = false;
}

// Returns the command that repeats the run of one seed.
std::string ReplayCommand(const FaultTestOptions& options, std::uint64_t seed) {
  std::string line = "copperpoint fault-test run " + options.file + " --seed " + std::to_string(seed);
  if (options.members > 0) line += " --members " + std::to_string(options.members);
  if (options.settled) line += " --settled";
  if (options.backends > 0) line += " --backends " + std::to_string(options.backends);
  for (const std::string& mechanism : options.without) line += " --without " + mechanism;
  return line + (options.in_virtual_time ? " --virtual" : "");
}

// Returns the name of this result in plots.
std::string Label(const FaultTestOptions& options) {
  std::string label = std::filesystem::path(options.file).stem().string();
  if (options.members > 0) label += ", " + std::to_string(options.members);
  for (const std::string& mechanism : options.without) label += ", without " + mechanism;
  return label;
}

void PrintTrace(const FaultTestOptions& options, std::uint64_t seed, const fault_testing::Outcome& outcome) {
  for (const std::string& line : outcome.failures) std::cout << "  " << line << '\n';
  if (!outcome.holds) std::cout << "  replay: " << ReplayCommand(options, seed) << '\n';
}

std::vector<fault_testing::Outcome> PlaySeeds(const FaultTestOptions& options,
                                              const fault_testing::Plan& plan) {
  std::vector<fault_testing::Outcome> outcomes(static_cast<std::size_t>(options.seeds));
  simulation::RunInParallel(outcomes.size(), static_cast<unsigned>(options.threads), [&](std::size_t i) {
    fault_testing::VirtualOptions run;
    run.seed = options.seed + i;
    run.record_timeline = options.seeds == 1;
    run.settled = options.settled;
    for (const std::string& mechanism : options.without) SwitchOff(mechanism, &run.membership_options);
    outcomes[i] = fault_testing::PlayVirtual(plan, run);
  });
  return outcomes;
}

// Prints the first failed seeds; returns how many failed.
int PrintFailures(const FaultTestOptions& options, const std::vector<fault_testing::Outcome>& outcomes) {
  int failed = 0;
  for (std::size_t i = 0; i < outcomes.size(); ++i) {
    if (outcomes[i].holds) continue;
    if (++failed > kMaxPrintedFailures) continue;
    std::cout << options.file << ", seed " << options.seed + i << ": does not hold\n";
    PrintTrace(options, options.seed + i, outcomes[i]);
  }
  return failed;
}

// Prints the distribution of one property's figures over the runs, in one line.
void PrintProperty(const Json& runs, std::size_t index) {
  const Json& property = runs[0]["properties"][index];
  std::cout << property["kind"].get<std::string>();
  for (const auto& [name, value] : property.items()) {
    if (!value.is_number() || name == "bound") continue;
    std::vector<double> values;
    for (const Json& run : runs) values.push_back(run["properties"][index][name].get<double>());
    std::cout << "  " << name << ' ' << fault_testing::Quantile(values, kMedian);
    if (values.size() > 1) {
      std::cout << " (p99 " << fault_testing::Quantile(values, kHighPercentile) << ", max "
                << fault_testing::Quantile(values, kMaximum) << ')';
    }
  }
  std::cout << "  bound " << property["bound"].get<double>() << '\n';
}

int RunVirtual(const FaultTestOptions& options, const fault_testing::Plan& plan) {
  const std::vector<fault_testing::Outcome> outcomes = PlaySeeds(options, plan);
  const int failed = PrintFailures(options, outcomes);
  Json runs = Json::array();
  for (const fault_testing::Outcome& outcome : outcomes) runs.push_back(outcome.json);
  for (std::size_t i = 0; i < runs[0]["properties"].size(); ++i) PrintProperty(runs, i);
  std::cout << options.file << ": " << outcomes.size() - static_cast<std::size_t>(failed) << " of "
            << outcomes.size() << " seeds hold\n";
  if (!options.json_file.empty()) {
    Json json = options.seeds == 1 ? runs[0] : Json{{"runs", runs}};
    json["label"] = Label(options);
    WriteOutputFile(options.json_file, json.dump(1) + '\n');
  }
  return failed > 0 ? kFailure : kSuccess;
}

// Throws std::invalid_argument if the test can be played in virtual time only.
void CheckPlayableAsProcesses(const FaultTestOptions& options, const fault_testing::Plan& plan) {
  if (plan.members > kMaxProcesses) {
    throw std::invalid_argument(options.file + ": " + std::to_string(plan.members) +
                                " members; expected at most " + std::to_string(kMaxProcesses) +
                                " as processes: give a smaller --members, or --virtual");
  }
  if (options.seeds != 1)
    throw std::invalid_argument("--seeds requires --virtual: processes run one seed at a time");
}

int PrintProcessOutcome(const FaultTestOptions& options, const fault_testing::ProcessOutcome& result) {
  if (result.interrupted) {
    std::cout << options.file << ": interrupted\n";
    return kFailure;
  }
  const fault_testing::Outcome& outcome = result.outcome;
  for (const auto& property : outcome.json["properties"]) std::cout << property.dump() << '\n';
  if (result.is_void) {
    std::cout << options.file << ": void, because the fault test's own process was late by "
              << outcome.json["rig_late_ms"].get<double>() << " ms\n";
    return kInvalid;
  }
  std::cout << options.file << ": " << (outcome.holds ? "holds" : "does not hold") << '\n';
  PrintTrace(options, options.seed, outcome);
  return outcome.holds ? kSuccess : kFailure;
}

int RunProcesses(const FaultTestOptions& options, const fault_testing::Plan& plan) {
  CheckPlayableAsProcesses(options, plan);
  fault_testing::ProcessOptions run;
  run.program = std::filesystem::read_symlink("/proc/self/exe").string();
  run.log_folder = options.log_folder;
  run.other_program = options.other_program;
  run.other_settings = options.other_settings;
  run.seed = options.seed;
  run.with_membership = !options.alone;
  const fault_testing::ProcessOutcome result = fault_testing::PlayProcesses(plan, run);
  if (!options.json_file.empty()) {
    Json json = result.outcome.json;
    json["label"] = Label(options) + ", processes";
    WriteOutputFile(options.json_file, json.dump(1) + '\n');
  }
  return PrintProcessOutcome(options, result);
}

int RunFaultTest(const FaultTestOptions& options) {
  fault_testing::Plan plan = fault_testing::ReadPlan(options.file);
  if (options.members > 0) plan.members = options.members;
  if (options.backends > 0) plan.service.backends = options.backends;
  return options.in_virtual_time ? RunVirtual(options, plan) : RunProcesses(options, plan);
}

void AddSizeOptions(CLI::App* run, FaultTestOptions* options) {
  run->add_option("--members", options->members, "Number of proxies; overrides the file's")
      ->check(CLI::Range(1, 10000));
  run->add_option("--backends", options->backends, "Number of backends; overrides the file's")
      ->check(CLI::Range(1, 500));
}

void AddVirtualTimeOptions(CLI::App* run, FaultTestOptions* options) {
  run->add_flag("--virtual", options->in_virtual_time,
                "Run in virtual time instead of processes, with the same protocol code");
  run->add_option("--seeds", options->seeds, "In virtual time: number of seeds, from --seed on")
      ->check(CLI::Range(1, 1000000));
  run->add_option("--threads", options->threads, "Concurrent seeds; 0: one for each core")
      ->check(CLI::NonNegativeNumber);
  run->add_option("--without", options->without,
                  "Switch off a mechanism of the membership, to measure its effect")
      ->check(CLI::IsMember({"suspicion", "own_time", "helpers", "sync"}));
  run->add_flag("--settled", options->settled,
                "In virtual time: the members that start with the run already know each other")
      ->needs("--virtual");
}

void AddProcessOptions(CLI::App* run, FaultTestOptions* options) {
  run->add_flag("--alone", options->alone, "Run the processes without membership, for comparison");
  run->add_option("--other", options->other_program, "The program that `replace` starts instead of this one")
      ->check(CLI::ExistingFile);
  run->add_option("--other-settings", options->other_settings,
                  "File with the lines that version v2 adds to the operator's file")
      ->check(CLI::ExistingFile);
  run->add_option("--logs", options->log_folder, "Write the members' logs into this folder");
}

}  // namespace

void AddFaultTestRunCommand(CLI::App& fault_test, int* exit_code) {
  auto options = std::make_shared<FaultTestOptions>();
  CLI::App* run = fault_test.add_subcommand("run", "Play a fault test (docs/membership.md)");
  run->footer("Example: copperpoint fault-test run lab/rig/crash.toml --seed 3 --virtual");
  run->add_option("FILE", options->file, "The faults, and the properties that must hold")
      ->required()
      ->check(CLI::ExistingFile);
  run->add_option("--seed", options->seed,
                  "Seed of the random numbers; in virtual time it determines the run");
  run->add_option("--json", options->json_file, "Write the result to this file");
  AddSizeOptions(run, options.get());
  AddVirtualTimeOptions(run, options.get());
  AddProcessOptions(run, options.get());
  run->callback([options, exit_code] { *exit_code = RunFaultTest(*options); });
}

}  // namespace copperpoint::cli
