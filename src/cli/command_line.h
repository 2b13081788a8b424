// SPDX-License-Identifier: Apache-2.0
//
// The words of the command line. Commands and options that were renamed are understood under their old names
// too, which help texts do not list; the table of these names is in command_line.cpp.
#ifndef COPPERPOINT_CLI_COMMAND_LINE_H_
#define COPPERPOINT_CLI_COMMAND_LINE_H_

#include <string>
#include <vector>

namespace copperpoint::cli {

// The arguments after the program's name, with each old name of a command or option replaced by the one in
// use. Arguments behind "--" stay as they are.
std::vector<std::string> CurrentArguments(std::vector<std::string> arguments);

}  // namespace copperpoint::cli

#endif  // COPPERPOINT_CLI_COMMAND_LINE_H_
