// SPDX-License-Identifier: Apache-2.0
//
// Synchronizes the complete tables of two members over TCP (push-pull anti-entropy: Demers and others, 1987):
// one member sends the hashes of its buckets, the other replies with its members of the buckets that differ,
// and the first pushes the members that the other lacks or has in an older state.
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

// Owns the time before which no further synchronization is started. The caller merges the claims that a
// message of the synchronization has.
class AntiEntropy {
 public:
  AntiEntropy(const Options& options, const MemberTable& members, const ClaimBuilder& claims,
              const LocalMember& local, MessageSender& sender, RandomSource& random, Time now);

  // Starts a synchronization: sends the hashes of this member's buckets to the member at `address`.
  void Start(const std::string& address, Time now);
  // Does the same, unless the last synchronization started less than a delay ago: one to two sync_delays,
  // drawn at random.
  void StartIfDue(const std::string& address, Time now) {
    if (now >= next_start_) Start(address, now);
  }
  // Returns the frame of the reply to another member's hashes. It has all members of the buckets that differ.
  std::string Reply(const wire::Message& hashes, Time now);
  // Returns the message to push to the sender of a reply: the members of the buckets that differ which that
  // member lacks or has in an older state. Must be called before the reply's claims are merged.
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
