// SPDX-License-Identifier: Apache-2.0
//
// Decides which claims of other members change this member's table, by the rules of member_table.h.
#ifndef COPPERPOINT_MEMBERSHIP_CLAIM_MERGER_H_
#define COPPERPOINT_MEMBERSHIP_CLAIM_MERGER_H_

#include <string>

#include "membership/ended_incarnations.h"
#include "membership/local_member.h"
#include "membership/member_lifecycle.h"
#include "membership/member_table.h"
#include "membership/name_conflict.h"
#include "membership/options.h"
#include "membership/output.h"

namespace copperpoint::membership {

// Owns no state: each claim that changes the table becomes a transition of MemberLifecycle.
class ClaimMerger {
 public:
  // How a claim was received.
  enum class Source {
    kGossip,  // in a datagram: the claim is on a recent change
    kSync,    // in a synchronization: the sender reports its complete table, with claims of any age
  };

  ClaimMerger(const Options& options, const MemberTable& members, const EndedIncarnations& ended,
              const LocalMember& local, MemberLifecycle& lifecycle, NameConflict& name_conflict,
              Counters& counters);

  // Merges the claims and last contacts of a message that MessageFilter has accepted.
  void MergeAll(const wire::Message& message, Source source, Time now);
  // Merges one claim. `from` is the name of the member that sent it.
  void Merge(const wire::Claim& claim, const std::string& from, Source source, Time now);

 private:
  // Returns whether the claim is on a process that has ended, or that lost its name to another for good.
  bool IsOfEndedProcess(const Record& record, int index) const;
  void MergeAlive(const Record& record, int index, Time now);
  void MergeSuspect(const wire::Claim& claim, const std::string& accuser, int index, Time now);
  void MergeEnded(const wire::Claim& claim, const std::string& reported_by, Source source, int index,
                  Time now);

  const Options& options_;
  const MemberTable& members_;
  const EndedIncarnations& ended_;
  const LocalMember& local_;
  MemberLifecycle& lifecycle_;
  NameConflict& name_conflict_;
  Counters& counters_;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_CLAIM_MERGER_H_
