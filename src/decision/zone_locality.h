// SPDX-License-Identifier: Apache-2.0
//
// Decides when a pick may ignore the cost of sending a request to another zone.
#ifndef COPPERPOINT_DECISION_ZONE_LOCALITY_H_
#define COPPERPOINT_DECISION_ZONE_LOCALITY_H_

#include <algorithm>

#include "copperpoint/balancer.h"
#include "decision/random.h"

namespace copperpoint {

// The pick adds the cost of crossing zones to the outstanding work of each backend in another zone. With few
// requests in flight, the least-work pick doesn't notice that the backends of the own zone are overloaded.
// Therefore, while the answers of the own zone lose more priority weight than those of the other zones, by
// more than the cost of a crossing, the cost is ignored in a growing fraction of the picks.
//
// Owns the mean losses of the own zone and of the other zones: the fraction of priority weight that is lost
// by late and failed answers.
class ZoneLocality {
 public:
  explicit ZoneLocality(double cross_zone_cost) : cross_zone_cost_(cross_zone_cost) {}

  // Records the outcome of an attempt. `loss`: the fraction of its priority weight that was lost, 0 to 1.
  void OnOutcome(bool own_zone, double loss) {
    double& mean_loss = own_zone ? own_zone_loss_ : other_zones_loss_;
    mean_loss += kGain * (loss - mean_loss);
    // The loss of the other zones decays, since zones that get no attempts may have recovered.
    if (own_zone) other_zones_loss_ *= 1 - kGain / 4;
    const bool crossing_pays = own_zone_loss_ - other_zones_loss_ > cross_zone_cost_;
    preference_ = std::clamp(preference_ + (crossing_pays ? -kGain : kGain), 0.0, 1.0);
  }

  // Returns the work in ms that one pick adds to each backend in another zone.
  double CrossingWorkMs(double mean_work_ms, Random& random) const {
    if (!(cross_zone_cost_ > 0 && random.Unit() < preference_)) return 0;
    return kFullCostRequests * cross_zone_cost_ * mean_work_ms;
  }

  // The fraction of the picks in which the cost counts.
  double preference() const { return preference_; }

 private:
  static constexpr double kFullCostRequests = 10;  // a cross_zone_cost of 1 counts as this many mean requests
  static constexpr double kGain = 0.1;             // weight of one outcome

  double cross_zone_cost_;
  double preference_ = 0.5;
  double own_zone_loss_ = 0, other_zones_loss_ = 0;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_ZONE_LOCALITY_H_
