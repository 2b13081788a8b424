// SPDX-License-Identifier: Apache-2.0
//
// Options that the subcommands of `copperpoint rollout` have in common.
#ifndef COPPERPOINT_CLI_ROLLOUT_OPTIONS_H_
#define COPPERPOINT_CLI_ROLLOUT_OPTIONS_H_

#include <CLI/App.hpp>
#include <string>

namespace copperpoint::cli {

// Adds a subcommand to `rollout` whose help ends with `example`, which begins with the subcommand's name.
CLI::App* AddRolloutSubcommand(CLI::App& rollout, const char* name, const char* description,
                               const std::string& example);

// Adds ADDRESS. `address` must outlive the parsing.
void AddAdminAddress(CLI::App* subcommand, std::string* address);

}  // namespace copperpoint::cli

#endif  // COPPERPOINT_CLI_ROLLOUT_OPTIONS_H_
