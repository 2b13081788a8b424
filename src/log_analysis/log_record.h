// SPDX-License-Identifier: Apache-2.0
//
// One line of a proxy's log, parsed from the text or the JSON form that src/log writes.
#ifndef COPPERPOINT_LOG_ANALYSIS_LOG_RECORD_H_
#define COPPERPOINT_LOG_ANALYSIS_LOG_RECORD_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace copperpoint::log_analysis {

struct LogRecord {
  double at_ms = 0;  // Unix time
  std::string event;
  std::vector<std::pair<std::string, std::string>> fields;

  // The value of a field; empty if the record has no such field.
  std::string_view Text(std::string_view name) const;
  // The value of a field as a number; `fallback` if the field is absent or not a number.
  double Number(std::string_view name, double fallback = 0) const;
};

// Returns nullopt if `line` is not from a proxy's log. A prefix added by a log collector is skipped. The
// names of older versions are replaced by the current ones.
std::optional<LogRecord> ParseLine(std::string_view line);

}  // namespace copperpoint::log_analysis

#endif  // COPPERPOINT_LOG_ANALYSIS_LOG_RECORD_H_
