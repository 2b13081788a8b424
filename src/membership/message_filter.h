// SPDX-License-Identifier: Apache-2.0
//
// Decides which messages are accepted. A message is rejected if it was received before, or if its sender is a
// process that has ended or lost its name.
#ifndef COPPERPOINT_MEMBERSHIP_MESSAGE_FILTER_H_
#define COPPERPOINT_MEMBERSHIP_MESSAGE_FILTER_H_

#include <string>

#include "membership/anti_entropy.h"
#include "membership/claim_builder.h"
#include "membership/ended_incarnations.h"
#include "membership/local_member.h"
#include "membership/member_lifecycle.h"
#include "membership/member_table.h"
#include "membership/message_sender.h"
#include "membership/name_conflict.h"
#include "membership/options.h"
#include "membership/output.h"
#include "membership/reply_limiter.h"

namespace copperpoint::membership {

// Owns no state. It passes what a message shows about its sender to MemberLifecycle, and starts a
// synchronization with a sender whose table must differ.
class MessageFilter {
 public:
  MessageFilter(MemberTable& members, const EndedIncarnations& ended, const ClaimBuilder& claims,
                const LocalMember& local, MemberLifecycle& lifecycle, AntiEntropy& anti_entropy,
                NameConflict& name_conflict, MessageSender& sender, ReplyLimiter& limiter,
                Counters& counters);

  // Returns whether the message is accepted. `from` is the sender's address, or empty within an exchange.
  bool Accept(const wire::Message& message, const std::string& from, Time now);

 private:
  bool AcceptUnknown(const wire::Message& message, const std::string& from, Time now);
  bool AcceptOtherIncarnation(const wire::Message& message, const std::string& from, int index, Time now);
  bool AcceptMember(const wire::Message& message, int index, Time now);

  MemberTable& members_;
  const EndedIncarnations& ended_;
  const ClaimBuilder& claims_;
  const LocalMember& local_;
  MemberLifecycle& lifecycle_;
  AntiEntropy& anti_entropy_;
  NameConflict& name_conflict_;
  MessageSender& sender_;
  ReplyLimiter& limiter_;
  Counters& counters_;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_MESSAGE_FILTER_H_
