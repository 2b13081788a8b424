// SPDX-License-Identifier: Apache-2.0
//
// The commands of `copperpoint`. Each has a source file of its own, which parses its options, runs it and
// sets the exit code; what a command throws is printed by main(), a line for each error.
#ifndef COPPERPOINT_CLI_COMMANDS_H_
#define COPPERPOINT_CLI_COMMANDS_H_

#include <CLI/App.hpp>

namespace copperpoint::cli {

enum ExitCode {
  kSuccess = 0,
  kFailure = 1,  // the run found a failure or a violated rule, or could not continue
  kUsage = 2,    // wrong usage or configuration
  kInvalid = 3,  // the fault test's own process ran late, so its result is void
};

// Each adds one command to `app`. `exit_code` is set when the command has run, and must outlive the parsing;
// a command without it exits with kSuccess.
void AddServeCommand(CLI::App& app);
void AddConfigCommand(CLI::App& app);
void AddSimulateCommand(CLI::App& app, int* exit_code);
void AddFleetCommand(CLI::App& app, int* exit_code);
void AddDemoCommand(CLI::App& app, int* exit_code);
void AddFaultTestCommand(CLI::App& app, int* exit_code);
void AddSuperviseCommand(CLI::App& app, int* exit_code);
void AddRolloutCommand(CLI::App& app, int* exit_code);
void AddVersionCommand(CLI::App& app);

}  // namespace copperpoint::cli

#endif  // COPPERPOINT_CLI_COMMANDS_H_
