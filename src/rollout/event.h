// SPDX-License-Identifier: Apache-2.0
//
// The events of a rollout, as members log them and record them in its history.
#ifndef COPPERPOINT_ROLLOUT_EVENT_H_
#define COPPERPOINT_ROLLOUT_EVENT_H_

#include <cstdint>
#include <string>

namespace copperpoint::rollout {

enum class EventKind {
  kPlanRejected,      // a plan of a later version of the program, which this one cannot read
  kPlanReceived,      // this member takes part in a rollout
  kStarted,           // by an operator at this member
  kExpired,           // no majority took part in time
  kLeaderElected,     // this member leads
  kMemberAdmitted,    // the next member of the order may upgrade
  kBakeTimeStarted,   // all members of the stage are upgraded, and the canaries are compared from here on
  kStageStarted,      // the stage before it is over
  kProgressed,        // this member has received further progress
  kPaused,            // by an operator
  kResumed,           // by an operator
  kStopped,           // the leader's decision
  kAborted,           // by an operator
  kCompleted,         // the leader's decision, or this member has received it
  kEnded,             // this member has received any other end
  kVersionRequested,  // this member requests another version from its supervisor
  kVersionFailed,     // its supervisor rolled a version back
};

// In the log (after "rollout_") and in a rollout's history, which other versions of the program read.
const char* NameOf(EventKind kind);

struct Event {
  EventKind kind = EventKind::kProgressed;
  std::string rollout_name, reason;
  std::uint32_t admitted_members = 0;
};

}  // namespace copperpoint::rollout

#endif  // COPPERPOINT_ROLLOUT_EVENT_H_
