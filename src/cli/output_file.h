// SPDX-License-Identifier: Apache-2.0
//
// Writes the result files of commands.
#ifndef COPPERPOINT_CLI_OUTPUT_FILE_H_
#define COPPERPOINT_CLI_OUTPUT_FILE_H_

#include <string>

namespace copperpoint::cli {

// Replaces the content of `path`. Throws std::runtime_error, one line with the path, if it cannot be written.
void WriteOutputFile(const std::string& path, const std::string& content);

}  // namespace copperpoint::cli

#endif  // COPPERPOINT_CLI_OUTPUT_FILE_H_
