// SPDX-License-Identifier: Apache-2.0
//
// A logger whose output a test reads.
#ifndef COPPERPOINT_TESTS_SUPPORT_LOG_LINES_H_
#define COPPERPOINT_TESTS_SUPPORT_LOG_LINES_H_

#include <chrono>
#include <string>
#include <vector>

#include "log/log.h"

namespace copperpoint::testing {

// Owns a logger and collects the lines that it writes, without their timestamps.
class LogCapture {
 public:
  std::vector<std::string> lines;
  log::Logger log{log::Settings{},
                  [this](const std::string& line) { lines.push_back(line.substr(line.find(' ') + 1)); },
                  [] { return std::chrono::system_clock::now(); }};
};

}  // namespace copperpoint::testing

#endif  // COPPERPOINT_TESTS_SUPPORT_LOG_LINES_H_
