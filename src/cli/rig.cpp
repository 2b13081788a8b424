// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <filesystem>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "cli/commands.h"
#include "cli/rig_plot.h"
#include "fault_testing/plan.h"
#include "fault_testing/processes/play.h"
#include "fault_testing/quantile.h"
#include "fault_testing/virtual.h"
#include "simulation/run/compare.h"

namespace copperpoint::cli {
namespace {

constexpr int kMostProcesses = 100;

struct RigOptions {
  std::string file, json, folder = "lab/rig";
  std::uint64_t seed = 1;
  int seeds = 1, members = 0, backends = 0, threads = 0;
  bool in_virtual_time = false, alone = false, settled = false;
  std::string logs, other, other_settings;
  std::vector<std::string> without;
};

void Switch(const std::string& part, membership::Options* options) {
  if (part == "suspicion") options->with_suspicion = false;
  if (part == "own_time") options->with_delayed_wakeups = false;
  if (part == "helpers") options->with_indirect_probes = false;
  if (part == "sync") options->with_anti_entropy = false;
}

std::string Replay(const RigOptions& options, std::uint64_t seed) {
  std::string line = "copperpoint rig run " + options.file + " --seed " + std::to_string(seed);
  if (options.members) line += " --members " + std::to_string(options.members);
  if (options.settled) line += " --settled";
  if (options.backends) line += " --backends " + std::to_string(options.backends);
  for (const std::string& part : options.without) line += " --without " + part;
  return line + (options.in_virtual_time ? " --virtual" : "");
}

// Tells this result from others in a picture.
std::string Label(const RigOptions& options) {
  std::string label = std::filesystem::path(options.file).stem().string();
  if (options.members) label += ", " + std::to_string(options.members);
  for (const std::string& part : options.without) label += ", without " + part;
  return label;
}

void Tell(const RigOptions& options, std::uint64_t seed, const fault_testing::Outcome& outcome) {
  for (const std::string& line : outcome.story) std::cout << "  " << line << '\n';
  if (!outcome.holds) std::cout << "  replay: " << Replay(options, seed) << '\n';
}

int RunVirtual(const RigOptions& options, const fault_testing::Plan& plan) {
  std::vector<fault_testing::Outcome> outcomes(static_cast<std::size_t>(options.seeds));
  simulation::InParallel(outcomes.size(), static_cast<unsigned>(options.threads), [&](std::size_t i) {
    fault_testing::VirtualOptions run;
    run.seed = options.seed + i;
    run.timeline = options.seeds == 1;
    run.settled = options.settled;
    for (const std::string& part : options.without) Switch(part, &run.view);
    outcomes[i] = fault_testing::PlayVirtual(plan, run);
  });

  nlohmann::ordered_json all = nlohmann::ordered_json::array();
  int failed = 0;
  for (std::size_t i = 0; i < outcomes.size(); ++i) {
    failed += !outcomes[i].holds;
    if (!outcomes[i].holds && failed <= 5) {
      std::cout << options.file << ", seed " << options.seed + i << ": does not hold\n";
      Tell(options, options.seed + i, outcomes[i]);
    }
    all.push_back(outcomes[i].json);
  }
  // The spread of each property's figure over the seeds.
  for (std::size_t p = 0; p < all[0]["properties"].size(); ++p) {
    const auto& shown = all[0]["properties"][p];
    std::cout << shown["kind"].get<std::string>();
    for (const auto& [name, value] : shown.items()) {
      if (!value.is_number() || name == "bound") continue;
      std::vector<double> values;
      for (const auto& json : all) values.push_back(json["properties"][p][name].get<double>());
      std::cout << "  " << name << ' ' << fault_testing::Quantile(values, 0.5);
      if (values.size() > 1)
        std::cout << " (p99 " << fault_testing::Quantile(values, 0.99) << ", most "
                  << fault_testing::Quantile(values, 1) << ')';
    }
    std::cout << "  bound " << shown["bound"].get<double>() << '\n';
  }
  std::cout << options.file << ": " << outcomes.size() - static_cast<std::size_t>(failed) << " of "
            << outcomes.size() << " seeds hold\n";
  if (!options.json.empty()) {
    nlohmann::ordered_json json = options.seeds == 1 ? all[0] : nlohmann::ordered_json{{"runs", all}};
    json["label"] = Label(options);
    Write(options.json, json.dump(1) + '\n');
  }
  return failed ? kFault : kDone;
}

int RunProcesses(const RigOptions& options, const fault_testing::Plan& plan) {
  if (plan.members > kMostProcesses)
    throw std::invalid_argument(options.file + ": " + std::to_string(plan.members) +
                                " members; at most 100 are played as processes (--members, --virtual)");
  if (options.seeds != 1) throw std::invalid_argument("--seeds goes with --virtual");
  fault_testing::ProcessOptions run;
  run.program = std::filesystem::read_symlink("/proc/self/exe").string();
  run.logs = options.logs;
  run.other = options.other;
  run.other_settings = options.other_settings;
  run.seed = options.seed;
  run.sharing = !options.alone;
  const fault_testing::ProcessOutcome result = fault_testing::PlayProcesses(plan, run);
  if (!options.json.empty()) {
    nlohmann::ordered_json json = result.outcome.json;
    json["label"] = Label(options) + ", processes";
    Write(options.json, json.dump(1) + '\n');
  }
  if (result.interrupted) {
    std::cout << options.file << ": interrupted\n";
    return kFault;
  }
  for (const auto& property : result.outcome.json["properties"]) std::cout << property.dump() << '\n';
  if (result.is_void) {
    std::cout << options.file << ": void, the rig itself was late by "
              << result.outcome.json["rig_late_ms"].get<double>() << " ms\n";
    return kVoid;
  }
  std::cout << options.file << ": " << (result.outcome.holds ? "holds" : "does not hold") << '\n';
  Tell(options, options.seed, result.outcome);
  return result.outcome.holds ? kDone : kFault;
}

int RunRig(const RigOptions& options) {
  fault_testing::Plan plan = fault_testing::ReadPlan(options.file);
  if (options.members > 0) plan.members = options.members;
  if (options.backends > 0) plan.service.backends = options.backends;
  return options.in_virtual_time ? RunVirtual(options, plan) : RunProcesses(options, plan);
}

void ListRig(const std::string& folder) {
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(folder))
    if (entry.path().extension() == ".toml") files.push_back(entry.path());
  std::sort(files.begin(), files.end());
  for (const auto& file : files)
    std::cout << file.string() << ": " << fault_testing::ReadPlan(file.string()).about << '\n';
}

}  // namespace

void AddRig(CLI::App& app, int* exit_code) {
  auto options = std::make_shared<RigOptions>();
  CLI::App* group = app.add_subcommand("rig", "Many processes of the program, and faults between them");
  group->require_subcommand(1);
  CLI::App* run = group->add_subcommand("run", "Play a file of the rig (docs/membership.md)");
  run->footer("Example: copperpoint rig run lab/rig/crash.toml --seed 3 --virtual");
  run->add_option("FILE", options->file, "What happens, and what has to hold")
      ->required()
      ->check(CLI::ExistingFile);
  run->add_option("--seed", options->seed,
                  "What chance decides; the same seed, the same run in virtual time");
  run->add_option("--seeds", options->seeds, "In virtual time: so many, from --seed on")
      ->check(CLI::Range(1, 1000000));
  run->add_option("--members", options->members, "Instead of the file's")->check(CLI::Range(1, 10000));
  run->add_option("--backends", options->backends, "Instead of the file's")->check(CLI::Range(1, 500));
  run->add_option("--threads", options->threads, "Seeds at a time; 0: one a core")
      ->check(CLI::NonNegativeNumber);
  run->add_option("--without", options->without, "A part of the view switched off, to see what it is worth")
      ->check(CLI::IsMember({"suspicion", "own_time", "helpers", "sync"}));
  run->add_flag("--virtual", options->in_virtual_time, "In virtual time, with the same protocol objects");
  run->add_flag("--settled", options->settled,
                "In virtual time: those that start with the run have long known each other")
      ->needs("--virtual");
  run->add_flag("--alone", options->alone, "Processes that know nothing of each other, for comparison");
  run->add_option("--other", options->other, "The program that `replace` puts in place of this one")
      ->check(CLI::ExistingFile);
  run->add_option("--other-settings", options->other_settings,
                  "Lines that the version v2 has in the operator's file besides v1's")
      ->check(CLI::ExistingFile);
  run->add_option("--logs", options->logs, "Keep the members' logs in this folder");
  run->add_option("--json", options->json, "Write the result here");
  run->callback([options, exit_code] { *exit_code = RunRig(*options); });
  AddRigPlot(group);
  CLI::App* list = group->add_subcommand("list", "The files of the rig, a line each");
  list->footer("Example: copperpoint rig list lab/rig");
  list->add_option("FOLDER", options->folder, "Where they are")->check(CLI::ExistingDirectory);
  list->callback([options] { ListRig(options->folder); });
}

}  // namespace copperpoint::cli
