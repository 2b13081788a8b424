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

// The process whose record supersedes the other's retains the name, and the other stops. A process that is
// not established yet takes the name over, as after a restart.
//
// Owns the time by which another process that members report under this name must have sent a message itself.
class NameConflict {
 public:
  NameConflict(LocalMember& local, MessageSender& sender, ReplyLimiter& limiter, std::vector<Event>& events);

  // Handles a claim on this member's name, which may be on this process or on another one.
  void OnClaim(const wire::Claim& claim, Time now);
  // Handles a message of another process with this name.
  void OnMessage(const wire::Message& message, const std::string& from, Time now);
  // Returns the time at which OnTimer is due, or kNever while no other process is reported.
  Time next() const { return answer_due_ > Time{} ? answer_due_ : kNever; }
  // Must be called at every timer event. A reported process that has sent nothing by its time-out is taken
  // not to exist, and this member refutes the claim and keeps the name.
  void OnTimer(Time now);

 private:
  LocalMember& local_;
  MessageSender& sender_;
  ReplyLimiter& limiter_;
  std::vector<Event>& events_;
  Time answer_due_{};  // 0 while no other process is reported
  std::uint32_t reported_refutation_number_ = 0;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_NAME_CONFLICT_H_
