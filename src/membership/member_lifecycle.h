// SPDX-License-Identifier: Apache-2.0
//
// The transitions of other members between the statuses alive, suspect, dead and left. Every change of
// another member in the table is made here: it is queued for gossip, and reported to the host as an event.
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

// Changes the tables that its owner passes to it, and owns no state. Members are referred to by index.
class MemberLifecycle {
 public:
  MemberLifecycle(const Options& options, MemberTable& members, SuspicionTable& suspicions,
                  GossipQueue& queue, ConvergenceTracker& convergence, EndedIncarnations& ended,
                  const ClaimBuilder& claims, const LocalMember& local, std::vector<Event>& events);

  // Add a member whose name was not known. Both do nothing if the table is full.
  void AddAlive(const Record& record, Time now);
  void AddTombstone(const Record& record, MemberStatus status, Time since, Time now);
  // Records another death or leave of a member that was dead or left already. This reports no event.
  void ReplaceTombstone(int index, const Record& record, MemberStatus status, Time now);
  // Stores a later version of the record of a living member.
  void UpdateRecord(int index, const Record& record, Time now);
  // Marks a member alive again, by a record that supersedes the known one. Does nothing for a tombstone if
  // the record has no address.
  void Revive(int index, std::shared_ptr<const Record> record, Time now);
  // Records that `accuser` suspects the member since `since`: starts a suspicion, or adds the accuser to it.
  void Suspect(int index, const std::string& accuser, Time since, Time now);
  // Makes this member a confirmer of the suspicion, if there is one.
  void BecomeConfirmer(int index, Time now);
  // Marks a member dead or left, as `reported_by` declared `age_ms` milliseconds ago.
  void MarkEnded(int index, MemberStatus status, const std::string& reported_by, std::uint32_t age_ms,
                 Time now);
  // Records that this or another member received a message from the member at `contact`. A contact with a
  // suspect is queued for gossip, so that the other members do not declare it dead.
  void RecordContact(int index, Time contact, Time now);
  // Removes tombstones that are older than their lifetime.
  void RemoveExpired(Time now);

 private:
  // Returns whether this member is among the `confirmers` members whose names, hashed with the suspect's,
  // give the greatest values. Every member selects the same ones without a message.
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
