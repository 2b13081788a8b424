// SPDX-License-Identifier: Apache-2.0
#include "rollout/event.h"

namespace copperpoint::rollout {

const char* NameOf(EventKind kind) {
  switch (kind) {
    case EventKind::kPlanRejected:
      return "not_understood";
    case EventKind::kPlanReceived:
      return "held";
    case EventKind::kStarted:
      return "begun";
    case EventKind::kExpired:
      return "expired";
    case EventKind::kLeaderElected:
      return "leads";
    case EventKind::kMemberAdmitted:
      return "member";
    case EventKind::kBakeTimeStarted:
      return "watching";
    case EventKind::kStageStarted:
      return "stage";
    case EventKind::kProgressed:
      return "progress";
    case EventKind::kPaused:
      return "paused";
    case EventKind::kResumed:
      return "resumed";
    case EventKind::kStopped:
      return "stopped";
    case EventKind::kAborted:
      return "aborted";
    case EventKind::kCompleted:
      return "done";
    case EventKind::kEnded:
      return "ended";
    case EventKind::kVersionRequested:
      return "run";
    case EventKind::kVersionFailed:
      return "failed";
  }
  return "unknown";
}

}  // namespace copperpoint::rollout
