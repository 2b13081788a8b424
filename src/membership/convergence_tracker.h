// SPDX-License-Identifier: Apache-2.0
//
// Decides whether this member and those it receives messages of have the same table, and notices a partition:
// tables that stay different.
#ifndef COPPERPOINT_MEMBERSHIP_CONVERGENCE_TRACKER_H_
#define COPPERPOINT_MEMBERSHIP_CONVERGENCE_TRACKER_H_

#include <algorithm>
#include <cstddef>

#include "membership/options.h"

namespace copperpoint::membership {

// Owns the number of agreements in a row, and the times of the last agreement and the last change.
class ConvergenceTracker {
 public:
  ConvergenceTracker(const Options& options, Time now)
      : options_(options), last_change_(now), last_agreement_(now) {}

  // This member's table has changed.
  void OnTableChanged(Time now) {
    last_change_ = now;
    agreements_ = 0;
  }
  // A member reported the hash of its table. True: the two should be synchronized, since they have differed
  // for sync_delay without a change here, or since this member has agreed with no other for kLostSyncDelays
  // of them: where changes never cease, it has missed some.
  bool OnComparison(bool equal, Time now) {
    if (equal) {
      agreements_ = std::min(kMaxAgreements, agreements_ + 1);
      last_agreement_ = now;
      return false;
    }
    agreements_ = 0;
    return now - last_agreement_ >= kLostSyncDelays * options_.sync_delay ||
           now - last_change_ >= options_.sync_delay;
  }
  // Whether the last members that sent a message, four or all others, had the same table. `living` counts
  // this one.
  bool Agrees(std::size_t living) const {
    return agreements_ >= static_cast<int>(std::min<std::size_t>(kMaxAgreements, living - 1));
  }

 private:
  static constexpr int kMaxAgreements = 4, kLostSyncDelays = 5;

  const Options& options_;
  int agreements_ = 0;  // in a row
  Time last_change_, last_agreement_;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_CONVERGENCE_TRACKER_H_
