// SPDX-License-Identifier: Apache-2.0
//
// Decides which of two processes with one name may use it.
#ifndef COPPERPOINT_MEMBERSHIP_NAME_CONFLICT_H_
#define COPPERPOINT_MEMBERSHIP_NAME_CONFLICT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "membership/local_member.h"
#include "membership/message_sender.h"
#include "membership/options.h"
#include "membership/output.h"
#include "membership/reply_limiter.h"

namespace copperpoint::membership {

// The process whose claim supersedes the other's retains the name, and the other stops. A process that has
// only just started takes the name over, as after a restart.
//
// Owns the time by which a process that others report under this name must have sent a message itself.
class NameConflict {
 public:
  NameConflict(LocalMember& local, MessageSender& sender, ReplyLimiter& limiter, std::vector<Event>& events);

  // What another member reports under this member's name: of this process, or of another one.
  void OnClaim(const wire::Claim& claim, Time now);
  // A message of another process with this name.
  void OnMessage(const wire::Message& message, const std::string& from, Time now);
  // kNever while no other process is reported.
  Time next() const { return answer_due_ > Time{} ? answer_due_ : kNever; }
  // To be called at every timer: a reported process that sent nothing does not exist, and its name is this
  // member's.
  void OnTimer(Time now);

 private:
  LocalMember& local_;
  MessageSender& sender_;
  ReplyLimiter& limiter_;
  std::vector<Event>& events_;
  Time answer_due_{};  // 0: no other process is reported
  std::uint32_t reported_refutation_number_ = 0;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_NAME_CONFLICT_H_
