// SPDX-License-Identifier: Apache-2.0
//
// `copperpoint simulate`: simulates the service in virtual time (docs/lab.md).
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <iostream>
#include <memory>

#include "cli/commands.h"
#include "cli/simulate_options.h"
#include "cli/subcommands.h"
#include "simulation/scenario/scenario.h"
#include "simulation/world/drawn_scenario.h"

namespace copperpoint::cli {

void AddSimulateReferenceCommand(CLI::App& simulate) {
  CLI::App* reference = AddSimulateSubcommand(simulate, "reference",
                                              "Print the reference page of a scenario's keys, in Markdown",
                                              "reference > docs/scenarios.md");
  reference->callback([] {
    std::cout
        << "# Scenario files\n\n"
           "TOML, read by `copperpoint simulate`. docs/lab.md describes each model; this page is written "
           "by\n"
           "`copperpoint simulate reference`. Unknown keys and values out of range are errors, and all of "
           "them are printed.\n\n"
        << simulation::ScenarioReference();
  });
}

void AddSimulateDrawCommand(CLI::App& simulate) {
  struct DrawOptions {
    ScenarioOptions scenario;
    std::uint64_t seed = 1;
  };
  auto options = std::make_shared<DrawOptions>();
  CLI::App* draw = AddSimulateSubcommand(
      simulate, "draw",
      "Print what is drawn from a seed: backends, their speeds and which of them have faults",
      "draw lab/scenarios/grey.toml --seed 3");
  AddScenarioOptions(draw, &options->scenario);
  draw->add_option("--seed", options->seed, "Seed of the random numbers");
  draw->callback([options] {
    const simulation::Scenario scenario = LoadScenario(options->scenario);
    std::cout << simulation::Json(scenario, simulation::DrawScenario(scenario, options->seed)).dump(1)
              << '\n';
  });
}

void AddSimulateCommand(CLI::App& app, int* exit_code) {
  CLI::App* simulate =
      app.add_subcommand("simulate", "Simulate the service in virtual time: run, compare, sweep, plot");
  simulate->require_subcommand(1);
  simulate->footer(
      "Example: copperpoint simulate compare lab/scenarios/ordinary.toml --seed 1 --json out.json");
  AddSimulateRunCommand(*simulate, exit_code);
  AddSimulateCompareCommand(*simulate, exit_code);
  AddSimulateSweepCommand(*simulate, exit_code);
  AddSimulatePlotCommand(*simulate);
  AddSimulateReferenceCommand(*simulate);
  AddSimulateDrawCommand(*simulate);
}

}  // namespace copperpoint::cli
