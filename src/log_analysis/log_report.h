// SPDX-License-Identifier: Apache-2.0
//
// Formats the counts of a LogCounter as a table for people and as JSON for programs.
#ifndef COPPERPOINT_LOG_ANALYSIS_LOG_REPORT_H_
#define COPPERPOINT_LOG_ANALYSIS_LOG_REPORT_H_

#include <nlohmann/json.hpp>
#include <string>

#include "log_analysis/log_counter.h"

namespace copperpoint::log_analysis {

// The names of the JSON's members are the same in all versions, since programs read them.
nlohmann::ordered_json JsonReport(const LogCounter& counter);

// Returns one line per second, then the sums and the backends with the most failed attempts.
std::string TableReport(const LogCounter& counter);

}  // namespace copperpoint::log_analysis

#endif  // COPPERPOINT_LOG_ANALYSIS_LOG_REPORT_H_
