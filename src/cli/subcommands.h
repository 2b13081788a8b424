// SPDX-License-Identifier: Apache-2.0
//
// The subcommands of the commands that have several, each in a source file of its own. `exit_code` as in
// commands.h.
#ifndef COPPERPOINT_CLI_SUBCOMMANDS_H_
#define COPPERPOINT_CLI_SUBCOMMANDS_H_

#include <CLI/App.hpp>

namespace copperpoint::cli {

// copperpoint simulate ...
void AddSimulateRunCommand(CLI::App& simulate, int* exit_code);
void AddSimulateCompareCommand(CLI::App& simulate, int* exit_code);
void AddSimulateSweepCommand(CLI::App& simulate, int* exit_code);
void AddSimulatePlotCommand(CLI::App& simulate);
void AddSimulateReferenceCommand(CLI::App& simulate);
void AddSimulateDrawCommand(CLI::App& simulate);

// copperpoint fleet ...
void AddFleetCountCommand(CLI::App& fleet, int* exit_code);
void AddFleetShowCommand(CLI::App& fleet);
void AddFleetCheckCommand(CLI::App& fleet, int* exit_code);

// copperpoint fault-test ...
void AddFaultTestRunCommand(CLI::App& fault_test, int* exit_code);
void AddFaultTestPlotCommand(CLI::App& fault_test);
void AddFaultTestListCommand(CLI::App& fault_test);

// copperpoint rollout ...
void AddRolloutPlanCommand(CLI::App& rollout, int* exit_code);
void AddRolloutControlCommands(CLI::App& rollout);  // start, pause, resume, abort
void AddRolloutStatusCommand(CLI::App& rollout);
void AddRolloutHistoryCommand(CLI::App& rollout);
void AddRolloutSimulateCommand(CLI::App& rollout, int* exit_code);

}  // namespace copperpoint::cli

#endif  // COPPERPOINT_CLI_SUBCOMMANDS_H_
