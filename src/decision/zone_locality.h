// SPDX-License-Identifier: Apache-2.0
//
// Decides when a pick may leave the proxy's own zone although that has a cost.
#ifndef COPPERPOINT_DECISION_ZONE_LOCALITY_H_
#define COPPERPOINT_DECISION_ZONE_LOCALITY_H_

#include <algorithm>

#include "copperpoint/balancer.h"
#include "decision/random.h"

namespace copperpoint {

// The cost of a crossing counts, in the pick, as so much work in flight at a backend of another zone. With
// few requests in flight the least-work pick doesn't see that the backends of the own zone are overloaded; so
// where their answers lose more than a crossing costs, compared with those of the other zones, the cost is
// left out of a growing part of the picks.
//
// Owns the losses of the two sides: the fraction of priority weight that late or failed answers lose.
class ZoneLocality {
 public:
  explicit ZoneLocality(double cross_zone_cost) : cross_zone_cost_(cross_zone_cost) {}

  // The outcome of an attempt: `loss` is the fraction of its priority weight that was lost, 0 to 1.
  void OnOutcome(bool own_zone, double loss) {
    double& mean_loss = own_zone ? own_zone_loss_ : other_zones_loss_;
    mean_loss += kGain * (loss - mean_loss);
    // Zones that get no attempts any more may have recovered.
    if (own_zone) other_zones_loss_ *= 1 - kGain / 4;
    const bool crossing_pays = own_zone_loss_ - other_zones_loss_ > cross_zone_cost_;
    preference_ = std::clamp(preference_ + (crossing_pays ? -kGain : kGain), 0.0, 1.0);
  }

  // What a crossing counts as in one pick, in ms of work.
  double CrossingWorkMs(double mean_work_ms, Random& random) const {
    if (!(cross_zone_cost_ > 0 && random.Unit() < preference_)) return 0;
    return kFullCostRequests * cross_zone_cost_ * mean_work_ms;
  }

  // The fraction of the picks that prefer the own zone.
  double preference() const { return preference_; }

 private:
  static constexpr double kFullCostRequests = 10;  // mean requests that a cost of the whole weight counts as
  static constexpr double kGain = 0.1;             // of one outcome

  double cross_zone_cost_;
  double preference_ = 0.5;
  double own_zone_loss_ = 0, other_zones_loss_ = 0;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_ZONE_LOCALITY_H_
