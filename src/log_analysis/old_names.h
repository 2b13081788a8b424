// SPDX-License-Identifier: Apache-2.0
//
// Logs of versions that used other names: their events, fields and values are read as today's.
#ifndef COPPERPOINT_LOG_ANALYSIS_OLD_NAMES_H_
#define COPPERPOINT_LOG_ANALYSIS_OLD_NAMES_H_

#include "log_analysis/log_record.h"

namespace copperpoint::log_analysis {

// Gives an event of an older version, its fields and their values the names of today. Leaves other records as
// they are.
void UseCurrentNames(LogRecord* record);

}  // namespace copperpoint::log_analysis

#endif  // COPPERPOINT_LOG_ANALYSIS_OLD_NAMES_H_
