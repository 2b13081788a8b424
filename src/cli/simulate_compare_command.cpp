// SPDX-License-Identifier: Apache-2.0
//
// `copperpoint simulate compare`: runs several policies on the same arrivals.
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "cli/commands.h"
#include "cli/output_file.h"
#include "cli/simulate_options.h"
#include "cli/subcommands.h"
#include "simulation/run/compare.h"

namespace copperpoint::cli {
namespace {

struct CompareOptions {
  ScenarioOptions scenario;
  std::vector<std::string> policies;  // all if empty
  std::uint64_t seed = 1;
  std::string json_file;
  unsigned threads = 0;
};

int CompareAll(const CompareOptions& options) {
  const simulation::Scenario scenario = LoadScenario(options.scenario);
  const auto policies = options.policies.empty() ? simulation::AllPolicies() : options.policies;
  std::size_t done = 0;
  const auto on_done = [&] { PrintProgress(++done, policies.size()); };
  const simulation::Comparison comparison =
      simulation::Compare(scenario, policies, options.seed, options.threads, on_done);
  if (!options.json_file.empty()) WriteOutputFile(options.json_file, comparison.json.dump(1) + '\n');
  std::cout << scenario.title << ", seed " << options.seed << '\n' << comparison.table;
  std::uint64_t events = 0;
  double busy_s = 0;
  for (std::size_t i = 0; i < policies.size(); ++i) {
    const simulation::RunResult& run = comparison.runs[i];
    events += run.events;
    busy_s += run.wall_s;
    if (policies[i] == "ours" && run.violations > 0) PrintViolations(run);
  }
  PrintCost(events, busy_s);
  return comparison.violations > 0 ? kFailure : kSuccess;
}

}  // namespace

void AddSimulateCompareCommand(CLI::App& simulate, int* exit_code) {
  auto options = std::make_shared<CompareOptions>();
  CLI::App* compare =
      AddSimulateSubcommand(simulate, "compare", "Run all policies on the same arrivals and print a table",
                            "compare lab/scenarios/ordinary.toml --seed 1 --json out.json");
  AddScenarioOptions(compare, &options->scenario);
  compare
      ->add_option("--policies", options->policies,
                   "Run only these policies, separated by commas; default: all")
      ->delimiter(',');
  compare->add_option("--seed", options->seed, "Seed of the random numbers");
  compare->add_option("--json", options->json_file, "Write all results to this file");
  compare->add_option("--threads", options->threads, "Concurrent runs; 0: one for each core");
  compare->callback([options, exit_code] { *exit_code = CompareAll(*options); });
}

}  // namespace copperpoint::cli
