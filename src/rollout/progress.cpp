// SPDX-License-Identifier: Apache-2.0
#include "rollout/progress.h"

namespace copperpoint::rollout {

const char* NameOf(RolloutStatus status) {
  switch (status) {
    case RolloutStatus::kInProgress:
      return "going";
    case RolloutStatus::kCompleted:
      return "done";
    case RolloutStatus::kStopped:
      return "stopped";
    case RolloutStatus::kRolledBack:
      return "taken back";
    case RolloutStatus::kAborted:
      return "aborted";
  }
  return "unknown";
}

}  // namespace copperpoint::rollout
