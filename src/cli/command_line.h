// SPDX-License-Identifier: Apache-2.0
//
// Replaces old names on the command line. Commands and options that were renamed are still accepted under
// their old names, which help texts do not list; command_line.cpp has the table of these names.
#ifndef COPPERPOINT_CLI_COMMAND_LINE_H_
#define COPPERPOINT_CLI_COMMAND_LINE_H_

#include <string>
#include <vector>

namespace copperpoint::cli {

// Returns the arguments, which come after the program's name, with each old name of a command or option
// replaced by the current one. Arguments after "--" are left unchanged.
std::vector<std::string> CurrentArguments(std::vector<std::string> arguments);

}  // namespace copperpoint::cli

#endif  // COPPERPOINT_CLI_COMMAND_LINE_H_
