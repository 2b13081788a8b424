// SPDX-License-Identifier: Apache-2.0
//
// Composes the claims and last contacts that this member reports of others, from its tables.
#ifndef COPPERPOINT_MEMBERSHIP_CLAIM_BUILDER_H_
#define COPPERPOINT_MEMBERSHIP_CLAIM_BUILDER_H_

#include <cstdint>
#include <string>
#include <utility>

#include "membership/member_table.h"
#include "membership/options.h"
#include "membership/suspicion_table.h"
#include "message.pb.h"

namespace copperpoint::membership {

// Returns an age in milliseconds, as messages state it. A negative age counts as 0.
std::uint32_t AgeMs(Time age);
// Returns whether a record is within the limits on its fields, and fits into one datagram.
bool IsWithinLimits(const Record& record, const Options& options);

// Reads the tables of its owner, and owns only this member's name.
class ClaimBuilder {
 public:
  ClaimBuilder(const MemberTable& members, const SuspicionTable& suspicions, std::string own_name)
      : members_(members), suspicions_(suspicions), own_name_(std::move(own_name)) {}

  // Returns a claim with the status and the record that this member has of another, given by its index.
  wire::Claim ClaimOn(int index, Time now) const;
  // Returns a report that the last contact with a member was at `contact`.
  wire::LastContact LastContactOf(int index, Time contact, Time now) const;

 private:
  const MemberTable& members_;
  const SuspicionTable& suspicions_;
  const std::string own_name_;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_CLAIM_BUILDER_H_
