// SPDX-License-Identifier: Apache-2.0
//
// Synchronizes the complete tables of two members over TCP (push-pull anti-entropy: Demers and others, 1987):
// hashes of buckets there, the members that differ back, and those that the other lacks there again.
#ifndef COPPERPOINT_MEMBERSHIP_ANTI_ENTROPY_H_
#define COPPERPOINT_MEMBERSHIP_ANTI_ENTROPY_H_

#include <string>

#include "membership/claim_builder.h"
#include "membership/local_member.h"
#include "membership/member_table.h"
#include "membership/message_sender.h"
#include "membership/options.h"
#include "membership/random_source.h"

namespace copperpoint::membership {

// Owns the time before which no further synchronization is started. Claims that it receives are merged by its
// caller.
class AntiEntropy {
 public:
  AntiEntropy(const Options& options, const MemberTable& members, const ClaimBuilder& claims,
              const LocalMember& local, MessageSender& sender, RandomSource& random, Time now);

  // Sends the hashes of this member's buckets to a member.
  void Start(const std::string& address, Time now);
  // The same, unless the last start was within one to two sync_delays, at random.
  void StartIfDue(const std::string& address, Time now) {
    if (now >= next_start_) Start(address, now);
  }
  // The frame of the reply to another member's hashes: all members of the buckets that differ.
  std::string Reply(const wire::Message& hashes, Time now);
  // The members of the buckets that differ which the sender of the reply lacks or has in an older state. To
  // be called before its claims are merged.
  wire::Message MissingAtSender(const wire::Message& reply, Time now);

 private:
  const Options& options_;
  const MemberTable& members_;
  const ClaimBuilder& claims_;
  const LocalMember& local_;
  MessageSender& sender_;
  RandomSource& random_;
  Time next_start_;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_ANTI_ENTROPY_H_
