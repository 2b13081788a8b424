// SPDX-License-Identifier: Apache-2.0
//
// Disseminates the queued claims in rounds: while any are queued, each round goes to a few random members.
#ifndef COPPERPOINT_MEMBERSHIP_GOSSIPER_H_
#define COPPERPOINT_MEMBERSHIP_GOSSIPER_H_

#include "membership/gossip_queue.h"
#include "membership/local_member.h"
#include "membership/member_table.h"
#include "membership/message_sender.h"
#include "membership/options.h"
#include "membership/random_source.h"

namespace copperpoint::membership {

// Owns no state; the queue has the time of the next round.
class Gossiper {
 public:
  Gossiper(const Options& options, const MemberTable& members, GossipQueue& queue, const LocalMember& local,
           MessageSender& sender, RandomSource& random);

  Time next() const { return queue_.empty() ? kNever : queue_.next_round(); }
  void OnTimer(Time now);
  // Notifies a few random members that this member leaves.
  void AnnounceLeave(Time now);

 private:
  const Options& options_;
  const MemberTable& members_;
  GossipQueue& queue_;
  const LocalMember& local_;
  MessageSender& sender_;
  RandomSource& random_;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_GOSSIPER_H_
