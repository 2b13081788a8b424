// SPDX-License-Identifier: Apache-2.0
//
// Decides whether this member has the same table as the members that send it messages, and detects tables
// that stay different, as after a partition.
#ifndef COPPERPOINT_MEMBERSHIP_CONVERGENCE_TRACKER_H_
#define COPPERPOINT_MEMBERSHIP_CONVERGENCE_TRACKER_H_

#include <algorithm>
#include <cstddef>

#include "membership/options.h"

namespace copperpoint::membership {

// Owns the number of consecutive messages whose sender had the same table, and the times of the last such
// message and of the last change of this member's table.
class ConvergenceTracker {
 public:
  ConvergenceTracker(const Options& options, Time now)
      : options_(options), last_change_(now), last_agreement_(now) {}

  // Must be called when this member's table has changed.
  void OnTableChanged(Time now) {
    last_change_ = now;
    agreements_ = 0;
  }
  // Must be called when a member has reported the hash of its table. Returns whether the two tables should be
  // synchronized: they differ and this one has not changed for sync_delay, or this member's table has
  // equalled no other for kLostSyncDelays sync_delays. So missed changes are found even if changes never
  // cease.
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
  // Returns whether the senders of the last messages had the same table: of four messages, or of as many as
  // there are other members if those are fewer. `living` is the number of living members with this one.
  bool Agrees(std::size_t living) const {
    return agreements_ >= static_cast<int>(std::min<std::size_t>(kMaxAgreements, living - 1));
  }

 private:
  static constexpr int kMaxAgreements = 4, kLostSyncDelays = 5;

  const Options& options_;
  int agreements_ = 0;  // consecutive, up to kMaxAgreements
  Time last_change_, last_agreement_;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_CONVERGENCE_TRACKER_H_
