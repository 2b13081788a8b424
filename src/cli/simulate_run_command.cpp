// SPDX-License-Identifier: Apache-2.0
//
// `copperpoint simulate run`: runs one policy on one scenario.
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <iostream>
#include <memory>
#include <string>

#include "cli/commands.h"
#include "cli/output_file.h"
#include "cli/simulate_options.h"
#include "cli/subcommands.h"
#include "simulation/run/run.h"

namespace copperpoint::cli {
namespace {

struct RunCommandOptions {
  ScenarioOptions scenario;
  simulation::RunOptions run;
  std::string json_file;
  bool json_logs = false;
};

// Returns the result without its long lists.
nlohmann::ordered_json Summary(nlohmann::ordered_json result) {
  for (const char* list : {"windows", "broken"}) result.erase(list);
  return result;
}

int RunOne(const RunCommandOptions& options) {
  const simulation::Scenario scenario = LoadScenario(options.scenario);
  simulation::RunOptions run = options.run;
  run.log_format = options.json_logs ? log::Format::kJson : log::Format::kText;
  const simulation::RunResult result = simulation::RunWithTrace(scenario, run);
  if (!options.json_file.empty()) WriteOutputFile(options.json_file, result.json.dump(1) + '\n');
  std::cout << Summary(result.json).dump(1) << '\n';
  if (run.traced_request != 0) {
    for (const std::string& line : result.trace) std::cout << line << '\n';
  }
  if (result.violations > 0) PrintViolations(result);
  PrintCost(result.events, result.wall_s);
  return result.violations > 0 ? kFailure : kSuccess;
}

}  // namespace

void AddSimulateRunCommand(CLI::App& simulate, int* exit_code) {
  auto options = std::make_shared<RunCommandOptions>();
  CLI::App* run = AddSimulateSubcommand(
      simulate, "run", "Run one policy; exit code 1 and the trace of a request if a rule is violated",
      "run lab/scenarios/ordinary.toml --seed 3");
  AddScenarioOptions(run, &options->scenario);
  run->add_option("--policy", options->run.policy,
                  "ours, oracle, or a reference policy such as p2c, p2c+3, p2c+budget");
  run->add_option("--seed", options->run.seed, "Seed of the random numbers");
  run->add_option("--json", options->json_file, "Write the complete result to this file");
  run->add_option("--trace", options->run.traced_request, "Print the trace of this request");
  run->add_option("--logs", options->run.log_folder,
                  "Write the log of each proxy into this folder (fleet count)");
  run->add_flag("--json-logs", options->json_logs, "Write the logs as JSON, one object per line");
  run->callback([options, exit_code] { *exit_code = RunOne(*options); });
}

}  // namespace copperpoint::cli
