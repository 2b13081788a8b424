// SPDX-License-Identifier: Apache-2.0
//
// `copperpoint fleet`: what the proxies of a fleet did, by their logs, and how they see each other.
#include "cli/commands.h"
#include "cli/subcommands.h"

namespace copperpoint::cli {

void AddFleetCommand(CLI::App& app, int* exit_code) {
  CLI::App* fleet = app.add_subcommand("fleet", "A fleet of proxies: its membership, and counts of its logs");
  fleet->require_subcommand(1);
  AddFleetCountCommand(*fleet, exit_code);
  AddFleetShowCommand(*fleet);
  AddFleetCheckCommand(*fleet, exit_code);
}

}  // namespace copperpoint::cli
