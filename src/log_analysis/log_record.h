// SPDX-License-Identifier: Apache-2.0
//
// One line of a proxy's log, in the text or the JSON form that src/log writes.
#ifndef COPPERPOINT_LOG_ANALYSIS_LOG_RECORD_H_
#define COPPERPOINT_LOG_ANALYSIS_LOG_RECORD_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace copperpoint::log_analysis {

struct Record {
  double at_ms = 0;  // Unix time
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;

  std::string_view Text(std::string_view name) const;  // empty if there is none
  double Number(std::string_view name, double otherwise = 0) const;
};

// Nothing if the line is none of ours. What a collector of logs puts before the line is passed over.
std::optional<Record> ParseLine(std::string_view line);

}  // namespace copperpoint::log_analysis

#endif  // COPPERPOINT_LOG_ANALYSIS_LOG_RECORD_H_
