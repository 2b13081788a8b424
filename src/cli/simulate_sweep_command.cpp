// SPDX-License-Identifier: Apache-2.0
//
// `copperpoint simulate sweep`: runs over ranges of keys; an interrupted sweep is resumed.
#include <fmt/format.h>

#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "cli/commands.h"
#include "cli/simulate_options.h"
#include "cli/subcommands.h"
#include "simulation/report/sweep_table.h"
#include "simulation/run/sweep.h"

namespace copperpoint::cli {
namespace {

struct SweepOptions {
  ScenarioOptions scenario;
  std::vector<std::string> ranges;  // KEY=FIRST:LAST:STEP or KEY=VALUE,VALUE
  std::vector<std::string> policies{"ours"};
  std::vector<std::uint64_t> seeds{1};
  std::string folder;
  unsigned threads = 0;
};

int SweepAll(const SweepOptions& options) {
  simulation::SweepPlan plan;
  plan.scenario_file = options.scenario.file;
  plan.scenario_text = ScenarioText(options.scenario);
  for (const std::string& range : options.ranges) plan.varied.push_back(simulation::ParseVariedKey(range));
  plan.policies = options.policies;
  plan.seeds = options.seeds;
  const simulation::SweepReport report =
      simulation::Sweep(plan, options.folder, options.threads, PrintProgress);
  std::cout << simulation::SweepTable(simulation::ReadSweep(options.folder));
  std::cout << fmt::format("{} points, {} reused from before, {} corrupted and run again; in {}\n",
                           report.points, report.reused, report.corrupted, options.folder);
  if (report.violations > 0) std::cout << report.violations << " violations of rules\n";
  PrintCost(report.events, report.busy_s);
  return report.violations > 0 ? kFailure : kSuccess;
}

}  // namespace

void AddSimulateSweepCommand(CLI::App& simulate, int* exit_code) {
  auto options = std::make_shared<SweepOptions>();
  CLI::App* sweep =
      AddSimulateSubcommand(simulate, "sweep", "Vary keys over ranges; an interrupted sweep is resumed",
                            "sweep lab/scenarios/ordinary.toml --vary load.of_capacity=0.2:1.4:0.1 "
                            "--policies ours,p2c,oracle --out found/load");
  AddScenarioOptions(sweep, &options->scenario);
  sweep
      ->add_option("--vary", options->ranges,
                   "KEY=FIRST:LAST:STEP or KEY=VALUE,VALUE; may be given several times")
      ->allow_extra_args(false);
  sweep->add_option("--policies", options->policies, "Policies, separated by commas; default: ours")
      ->delimiter(',');
  sweep->add_option("--seeds", options->seeds, "Seeds, separated by commas; default: 1")->delimiter(',');
  sweep->add_option("--out", options->folder, "Folder of the results")->required();
  sweep->add_option("--threads", options->threads, "Concurrent runs; 0: one for each core");
  sweep->callback([options, exit_code] { *exit_code = SweepAll(*options); });
}

}  // namespace copperpoint::cli
