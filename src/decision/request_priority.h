// SPDX-License-Identifier: Apache-2.0
//
// Decides in which order queued requests are served while capacity is short: first the one whose work adds
// most to the operators' service objective.
#ifndef COPPERPOINT_DECISION_REQUEST_PRIORITY_H_
#define COPPERPOINT_DECISION_REQUEST_PRIORITY_H_

#include <vector>

#include "copperpoint/balancer.h"

namespace copperpoint {

// The objective is a weighted sum of the fraction of priority weight served overall, in the worst-served
// class and for the worst-served tenant. Strict order by priority weight would starve the class of least
// weight; the gradient of the objective doesn't, since the fraction served of a small class rises faster for
// the same work.
//
// Owns what each class and tenant offered and was served within its latency objective, as work (ms) times
// priority weight, averaged over kMemory.
class RequestPriority {
 public:
  static constexpr Duration kMemory{20000};

  explicit RequestPriority(const Settings& settings);

  // Records the first attempt of a client's request, and a response within the latency objective. Requests
  // over their tenant's quota count for their class only; classes and tenants that the settings don't have
  // are ignored.
  void OnOffered(int request_class, int tenant, double work_ms, bool within_quota);
  void OnServedInTime(int request_class, int tenant, double work_ms, bool within_quota);
  // Ages the averages by `elapsed`.
  void Decay(Duration elapsed);

  // What one ms of work of this class and tenant adds to the objective, in units of priority weight: the
  // class's own weight unless it or the tenant is the worst served. 0 for an unknown class; tenant -1 counts
  // for none.
  double PriorityOf(int request_class, int tenant) const;

 private:
  struct Service {
    double offered = 0, served = 0;
    double FractionServed() const { return offered > 0 ? served / offered : 1; }
  };
  static const Service* WorstServed(const std::vector<Service>& services);
  void Count(int request_class, int tenant, double work_ms, bool within_quota, double Service::*sum);

  ServiceObjective objective_;
  std::vector<double> weights_;  // of the classes
  std::vector<Service> classes_, tenants_;
  double offered_ = 0;  // of all classes
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_REQUEST_PRIORITY_H_
