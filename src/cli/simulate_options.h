// SPDX-License-Identifier: Apache-2.0
//
// What the subcommands of `copperpoint simulate` have in common: the scenario with its overrides, the
// progress line and the printing of costs and violated rules.
#ifndef COPPERPOINT_CLI_SIMULATE_OPTIONS_H_
#define COPPERPOINT_CLI_SIMULATE_OPTIONS_H_

#include <CLI/App.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "simulation/run/run.h"
#include "simulation/scenario/scenario.h"

namespace copperpoint::cli {

struct ScenarioOptions {
  std::string file;
  std::vector<std::string> overrides;  // KEY=VALUE
};

// Adds a subcommand to `simulate` whose help ends with `example`, which begins with the subcommand's name.
CLI::App* AddSimulateSubcommand(CLI::App& simulate, const char* name, const char* description,
                                const char* example);

// Adds SCENARIO and --set. `options` must outlive the parsing.
void AddScenarioOptions(CLI::App* subcommand, ScenarioOptions* options);

// Returns the TOML of the scenario with its overrides. Throws std::invalid_argument on an override that is
// not KEY=VALUE or names no key, config::InvalidFile on a file that can't be read or is not TOML.
std::string ScenarioText(const ScenarioOptions& options);

// Returns the scenario with its overrides. Throws as ScenarioText, and config::InvalidFile on unknown keys
// and values out of range.
simulation::Scenario LoadScenario(const ScenarioOptions& options);

// Prints a progress bar that overwrites itself if standard error is a terminal; otherwise prints nothing.
void PrintProgress(std::size_t done, std::size_t total);

// Prints the number of simulated events, the events per second of `busy_s` and the peak memory.
void PrintCost(std::uint64_t events, double busy_s);

// Prints the first violations of rules in the run, and the trace of the request of the first one.
void PrintViolations(const simulation::RunResult& run);

}  // namespace copperpoint::cli

#endif  // COPPERPOINT_CLI_SIMULATE_OPTIONS_H_
