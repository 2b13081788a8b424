// SPDX-License-Identifier: Apache-2.0
//
// The reason why a leader stops a rollout.
#ifndef COPPERPOINT_ROLLOUT_STOP_CAUSE_H_
#define COPPERPOINT_ROLLOUT_STOP_CAUSE_H_

#include <string>

namespace copperpoint::rollout {

enum class StopReason {
  kVersionFailed,   // A supervisor rolled the new version back.
  kContactLost,     // An upgraded member has no contact while others of its zone have.
  kUpgradeTimeout,  // A member was not ready at the new version in time.
  kCrashes,         // Canaries crash more often than the baseline.
  kTimeLimit,       // The rollout exceeded its time limit.
  kRegression,      // A measure is worse at the canaries (canary_analysis.h).
  kProcessorTime,   // Canaries use more processor time per request.
  kMemory,          // Canaries use more memory.
  kTooFewRequests,  // A stage's canaries did not receive enough requests.
};

struct StopCause {
  StopReason reason;
  std::string text;  // The cause with its figures, for the log and the history.
};

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_STOP_CAUSE_H_
