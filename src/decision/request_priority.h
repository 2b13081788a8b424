// SPDX-License-Identifier: Apache-2.0
//
// Decides in which order queued requests are served: the request that adds most to the service objective per
// ms of work comes first.
#ifndef COPPERPOINT_DECISION_REQUEST_PRIORITY_H_
#define COPPERPOINT_DECISION_REQUEST_PRIORITY_H_

#include <vector>

#include "copperpoint/balancer.h"

namespace copperpoint {

// The service objective is a weighted sum of the fractions of priority weight served overall, in the
// worst-served class and for the worst-served tenant. Strict order by priority weight would starve the class
// of least weight. The gradient of the objective doesn't, since the same work raises the fraction served of a
// small class faster.
//
// Owns what each class and tenant offered, and was served within the latency objective. Both are sums of work
// (ms) times priority weight, which decay with the time constant kMemory.
class RequestPriority {
 public:
  static constexpr Duration kMemory{20000};

  explicit RequestPriority(const Settings& settings);

  // OnOffered records the client's first attempt of a request, OnServedInTime an answer within the latency
  // objective. Requests over their tenant's quota count for their class only. Classes and tenants that the
  // settings don't have are ignored.
  void OnOffered(int request_class, int tenant, double work_ms, bool within_quota);
  void OnServedInTime(int request_class, int tenant, double work_ms, bool within_quota);
  // Decays the sums for the last `elapsed`.
  void Decay(Duration elapsed);

  // Returns what one ms of work of this class and tenant adds to the objective, in units of priority weight:
  // the weight of the class, times the objective's weight `overall`, and more if the class or the tenant is
  // the worst served. 0 for an unknown class. Tenant -1 stands for a request that counts for no tenant.
  double PriorityOf(int request_class, int tenant) const;

 private:
  struct Service {
    double offered = 0, served = 0;
    double FractionServed() const { return offered > 0 ? served / offered : 1; }
  };
  static const Service* WorstServed(const std::vector<Service>& services);
  void Count(int request_class, int tenant, double work_ms, bool within_quota, double Service::*sum);

  ServiceObjective objective_;
  std::vector<double> weights_;  // priority weights, by class
  std::vector<Service> classes_, tenants_;
  double offered_ = 0;  // sum over all classes
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_REQUEST_PRIORITY_H_
