// SPDX-License-Identifier: Apache-2.0
//
// The reason why an operator's command to a rollout was rejected.
#ifndef COPPERPOINT_ROLLOUT_COMMAND_FAILURE_H_
#define COPPERPOINT_ROLLOUT_COMMAND_FAILURE_H_

#include <string>

namespace copperpoint::rollout {

enum class CommandError {
  kInvalidPlan,  // The plan has errors (InvalidPlan in plan_parser.h).
  kRolloutInProgress,
  kNoMembers,
  kTooManyMembers,
  kNothingToAbort,
  kNoRolloutInProgress,
  kAlreadyPaused,
  kNotPaused,
  kTooManyPauses,
};

struct CommandFailure {
  CommandError error;
  std::string text;  // The message that the operator receives.
};

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_COMMAND_FAILURE_H_
