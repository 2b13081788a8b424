// SPDX-License-Identifier: Apache-2.0
//
// Replaces the names of events, fields and values in logs of older versions by the current ones.
#ifndef COPPERPOINT_LOG_ANALYSIS_OLD_NAMES_H_
#define COPPERPOINT_LOG_ANALYSIS_OLD_NAMES_H_

#include "log_analysis/log_record.h"

namespace copperpoint::log_analysis {

// Replaces the names of an event of an older version, of its fields and of their values by the current ones.
// Other records are left unchanged.
void UseCurrentNames(LogRecord* record);

}  // namespace copperpoint::log_analysis

#endif  // COPPERPOINT_LOG_ANALYSIS_OLD_NAMES_H_
