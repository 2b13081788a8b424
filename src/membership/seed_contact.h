// SPDX-License-Identifier: Apache-2.0
//
// Finds the fleet through its seeds, which are the addresses of members that the settings name.
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

// Random seeds are contacted frequently until one has answered. After that, seeds that are no living member's
// address are contacted at longer intervals, so that two fleets that never met find each other.
//
// Owns the seeds, the time of the next contact, and the time at which this member stops waiting for an
// answer.
class SeedContact {
 public:
  SeedContact(const Options& options, const MemberTable& members, LocalMember& local,
              AntiEntropy& anti_entropy, RandomSource& random, Time now);

  // Contacts a seed. If this member is the only seed, it is the first of its fleet and established at once.
  void Join(std::vector<std::string> seeds, Time now);
  Time next() const;  // the time at which one of the two functions below is due
  // Establishes this member as the first of its fleet if no seed has answered for kAloneAfter.
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
