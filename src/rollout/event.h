// SPDX-License-Identifier: Apache-2.0
//
// The events of a rollout, which members log and record in the rollout's history.
#ifndef COPPERPOINT_ROLLOUT_EVENT_H_
#define COPPERPOINT_ROLLOUT_EVENT_H_

#include <cstdint>
#include <string>

namespace copperpoint::rollout {

enum class EventKind {
  kPlanRejected,      // This program cannot read the plan, which a later version of the program wrote.
  kPlanReceived,      // This member takes part in a rollout.
  kStarted,           // An operator started the rollout at this member.
  kExpired,           // No member was admitted in time.
  kLeaderElected,     // This member leads the rollout.
  kMemberAdmitted,    // The next member of the order may upgrade.
  kBakeTimeStarted,   // All members of the stage are upgraded; the comparison of the canaries starts.
  kStageStarted,      // The previous stage is complete.
  kProgressed,        // This member has received further progress.
  kPaused,            // An operator paused the rollout.
  kResumed,           // An operator resumed the rollout.
  kStopped,           // The leader stopped the rollout.
  kAborted,           // An operator aborted the rollout.
  kCompleted,         // The leader completed the rollout, or this member has received its completion.
  kEnded,             // This member has received an end other than completion.
  kVersionRequested,  // This member requests another version from its supervisor.
  kVersionFailed,     // This member's supervisor rolled a version back.
};

// Returns the event's name in the log, where "rollout_" precedes it, and in a rollout's history, which other
// versions of the program read.
const char* NameOf(EventKind kind);

struct Event {
  EventKind kind = EventKind::kProgressed;
  std::string rollout_name, reason;
  std::uint32_t admitted_members = 0;
};

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_EVENT_H_
