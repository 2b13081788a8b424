// SPDX-License-Identifier: Apache-2.0
//
// The sub-commands of `copperpoint`, a file each. A command's callback sets the exit code; what it throws is
// told by main in one line a fault.
#ifndef COPPERPOINT_CLI_COMMANDS_H_
#define COPPERPOINT_CLI_COMMANDS_H_

#include <CLI/App.hpp>
#include <string>

namespace copperpoint::cli {

enum ExitCode {
  kDone = 0,
  kFault = 1,  // the run found a fault or a broken rule, or could not go on
  kUsage = 2,  // wrong usage or configuration
  kVoid = 3,   // the rig itself was late: the run says nothing
};

// A result's file. Throws std::runtime_error if it cannot be written.
void Write(const std::string& file, const std::string& text);

void AddServe(CLI::App& app);
void AddConfig(CLI::App& app);
void AddLab(CLI::App& app, int* exit_code);
void AddFleet(CLI::App& app, int* exit_code);
void AddDemo(CLI::App& app, int* exit_code);
void AddRig(CLI::App& app, int* exit_code);
void AddKeep(CLI::App& app, int* exit_code);
void AddRollout(CLI::App& app, int* exit_code);
void AddVersion(CLI::App& app);

}  // namespace copperpoint::cli

#endif  // COPPERPOINT_CLI_COMMANDS_H_
