// SPDX-License-Identifier: Apache-2.0
//
// The transitions of other members between the statuses alive, suspect, dead and left. Every change of the
// table passes here: it is queued for gossip, and reported to the host as an event.
#ifndef COPPERPOINT_MEMBERSHIP_MEMBER_LIFECYCLE_H_
#define COPPERPOINT_MEMBERSHIP_MEMBER_LIFECYCLE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "membership/claim_builder.h"
#include "membership/convergence_tracker.h"
#include "membership/ended_incarnations.h"
#include "membership/gossip_queue.h"
#include "membership/local_member.h"
#include "membership/member_table.h"
#include "membership/options.h"
#include "membership/output.h"
#include "membership/suspicion_table.h"

namespace copperpoint::membership {

// Writes the tables that its owner has given it; owns no state. Members are referred to by index.
class MemberLifecycle {
 public:
  MemberLifecycle(const Options& options, MemberTable& members, SuspicionTable& suspicions,
                  GossipQueue& queue, ConvergenceTracker& convergence, EndedIncarnations& ended,
                  const ClaimBuilder& claims, const LocalMember& local, std::vector<Event>& events);

  // A name that was not known. Both do nothing if the table is full.
  void AddAlive(const Record& record, Time now);
  void AddTombstone(const Record& record, MemberStatus status, Time since, Time now);
  // Another death or leave of a member that was dead or left already; no event.
  void ReplaceTombstone(int index, const Record& record, MemberStatus status, Time now);
  // A later version of the record of a living member.
  void UpdateRecord(int index, const Record& record, Time now);
  // Alive again, by a record that supersedes the known one. A tombstone needs one with an address.
  void Revive(int index, std::shared_ptr<const Record> record, Time now);
  // `accuser` suspects the member since `since`; this member starts a suspicion or adds the accuser.
  void Suspect(int index, const std::string& accuser, Time since, Time now);
  // This member becomes a confirmer of the suspicion, if there is one.
  void BecomeConfirmer(int index, Time now);
  // Dead or left, as `reported_by` declared so long ago.
  void MarkEnded(int index, MemberStatus status, const std::string& reported_by, std::uint32_t age_ms,
                 Time now);
  // Another member received a message of it at `contact`; of a suspect, the others are informed.
  void RecordContact(int index, Time contact, Time now);
  // Removes tombstones that are older than their lifetime.
  void RemoveExpired(Time now);

 private:
  // Whether this member is among the `confirmers` whose names, hashed with the suspect's, are the greatest:
  // every member picks the same ones without a message.
  bool IsConfirmer(int index) const;
  void Report(Event::Kind kind, const std::string& name, const std::string& reported_by = "",
              Time time_since_contact = {});

  const Options& options_;
  MemberTable& members_;
  SuspicionTable& suspicions_;
  GossipQueue& queue_;
  ConvergenceTracker& convergence_;
  EndedIncarnations& ended_;
  const ClaimBuilder& claims_;
  const LocalMember& local_;
  std::vector<Event>& events_;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_MEMBER_LIFECYCLE_H_
