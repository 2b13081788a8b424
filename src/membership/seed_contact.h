// SPDX-License-Identifier: Apache-2.0
//
// Finds the fleet through its seeds: addresses of members that the settings name.
#ifndef COPPERPOINT_MEMBERSHIP_SEED_CONTACT_H_
#define COPPERPOINT_MEMBERSHIP_SEED_CONTACT_H_

#include <string>
#include <vector>

#include "membership/anti_entropy.h"
#include "membership/local_member.h"
#include "membership/member_table.h"
#include "membership/options.h"
#include "membership/random_source.h"

namespace copperpoint::membership {

// Seeds are contacted at random, often until one has answered; later those that are in no living member's
// record now and then, so that two fleets that never met find each other.
//
// Owns the seeds, the time of the next contact, and the time at which this member gives up on them.
class SeedContact {
 public:
  SeedContact(const Options& options, const MemberTable& members, LocalMember& local,
              AntiEntropy& anti_entropy, RandomSource& random, Time now);

  // Without seeds but this member itself it is the first, and established.
  void Join(std::vector<std::string> seeds, Time now);
  Time next() const;  // when one of the two below is due
  // Without an answer of any seed for kAloneAfter, this member is the first.
  void CheckAlone(Time now);
  void ContactIfDue(Time now);

 private:
  static constexpr Time kAloneAfter = std::chrono::seconds(2);

  void Contact(Time now);

  const Options& options_;
  const MemberTable& members_;
  LocalMember& local_;
  AntiEntropy& anti_entropy_;
  RandomSource& random_;
  std::vector<std::string> seeds_;
  Time next_contact_ = kNever;
  Time alone_at_;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_SEED_CONTACT_H_
