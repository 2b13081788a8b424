// SPDX-License-Identifier: Apache-2.0
//
// This process as a member: its own record, which no other member changes, and whether it takes part in the
// membership.
#ifndef COPPERPOINT_MEMBERSHIP_LOCAL_MEMBER_H_
#define COPPERPOINT_MEMBERSHIP_LOCAL_MEMBER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "membership/claim_builder.h"
#include "membership/convergence_tracker.h"
#include "membership/gossip_queue.h"
#include "membership/member_table.h"
#include "membership/options.h"

namespace copperpoint::membership {

// Owns this member's index in the member table, its incarnation, and whether it is established or has
// stopped. Each change of its record is queued for gossip.
class LocalMember {
 public:
  // Adds the record, with the incarnation set in it, to the table. Throws std::invalid_argument if a field is
  // over its limit.
  LocalMember(const Options& options, MemberTable& members, GossipQueue& queue,
              ConvergenceTracker& convergence, const ClaimBuilder& claims, Record record,
              std::uint64_t incarnation, Time now);

  int index() const { return index_; }
  std::uint64_t incarnation() const { return incarnation_; }
  const Record& record() const { return *members_[index_].record; }
  const std::string& name() const { return record().name(); }

  // Returns whether this member has met another one, or has found that there is none.
  bool established() const { return established_; }
  void set_established() { established_ = true; }
  // Returns whether this member has left or lost its name. It sends nothing more then.
  bool stopped() const { return stopped_; }
  void Stop();

  // Return a copy of the record with one change, in the next version.
  std::shared_ptr<Record> WithState(MemberState state) const;
  std::shared_ptr<Record> WithMetadata(const std::string& key, const std::string& value) const;
  // Replaces the record and queues it for gossip.
  void Replace(std::shared_ptr<Record> record, Time now);
  // Refutes a claim that is not true of this member: adopts the refutation number after the claim's, in
  // serial arithmetic, and schedules a round of gossip at once.
  void Refute(std::uint32_t refutation_number, Time now);

 private:
  MemberTable& members_;
  GossipQueue& queue_;
  ConvergenceTracker& convergence_;
  const ClaimBuilder& claims_;
  const std::uint64_t incarnation_;
  int index_;
  bool established_ = false, stopped_ = false;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_LOCAL_MEMBER_H_
