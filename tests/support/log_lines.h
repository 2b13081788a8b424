// SPDX-License-Identifier: Apache-2.0
//
// A logger whose lines a test reads.
#ifndef COPPERPOINT_TESTS_SUPPORT_LOG_LINES_H_
#define COPPERPOINT_TESTS_SUPPORT_LOG_LINES_H_

#include <chrono>
#include <string>
#include <vector>

#include "log/log.h"

namespace copperpoint::testing {

// The lines that a logger writes, without their time.
class Lines {
 public:
  std::vector<std::string> lines;
  log::Logger log{log::Settings{},
                  [this](const std::string& line) { lines.push_back(line.substr(line.find(' ') + 1)); },
                  [] { return std::chrono::system_clock::now(); }};
};

}  // namespace copperpoint::testing

#endif  // COPPERPOINT_TESTS_SUPPORT_LOG_LINES_H_
