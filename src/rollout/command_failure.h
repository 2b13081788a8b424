// SPDX-License-Identifier: Apache-2.0
//
// Why an operator's command to a rollout was not carried out.
#ifndef COPPERPOINT_ROLLOUT_COMMAND_FAILURE_H_
#define COPPERPOINT_ROLLOUT_COMMAND_FAILURE_H_

#include <string>

namespace copperpoint::rollout {

enum class CommandError {
  kInvalidPlan,  // plan_parser.h
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
  std::string text;  // for the operator
};

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_COMMAND_FAILURE_H_
