// SPDX-License-Identifier: Apache-2.0
//
// Why a leader stops a rollout.
#ifndef COPPERPOINT_ROLLOUT_STOP_CAUSE_H_
#define COPPERPOINT_ROLLOUT_STOP_CAUSE_H_

#include <string>

namespace copperpoint::rollout {

enum class StopReason {
  kVersionFailed,   // a supervisor rolled the new version back
  kContactLost,     // an upgraded member has no contact, while others of its zone have
  kUpgradeTimeout,  // a member is not ready at the new version in time
  kCrashes,         // canaries crash more often than the baseline
  kTimeLimit,       // the rollout takes too long
  kRegression,      // a measure is worse (canary_analysis.h)
  kProcessorTime,   // a request takes more processor time
  kMemory,          // canaries take more memory
  kTooFewRequests,  // a stage's canaries did not receive enough requests
};

struct StopCause {
  StopReason reason;
  std::string text;  // with its figures, for the log and the history
};

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_STOP_CAUSE_H_
