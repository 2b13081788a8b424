// SPDX-License-Identifier: Apache-2.0
//
// The oracle knows the true state of the backends. It sends a request to the backend whose response would
// arrive first, and immediately rejects a request that no backend can serve within its latency objective. It
// can't undo earlier decisions and does not know future arrivals, so its result is a reference value, not a
// proven optimum. On large fleets it evaluates a random sample of the backends.
#ifndef COPPERPOINT_SIMULATION_POLICIES_ORACLE_POLICY_H_
#define COPPERPOINT_SIMULATION_POLICIES_ORACLE_POLICY_H_

#include "simulation/core/random.h"
#include "simulation/policies/endpoint_tracking_policy.h"

namespace copperpoint::simulation {

class OraclePolicy : public EndpointTrackingPolicy {
 public:
  explicit OraclePolicy(PolicyContext context);

 private:
  static constexpr std::size_t kMaxSampled = 64;  // backends

  int Pick(const OpenRequest& request) override;
  bool MayRetry() override { return true; }
  // Returns the response time in milliseconds, or a negative number if no response would arrive.
  double ResponseTime(const OpenRequest& request, int index) const;

  Random random_;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_POLICIES_ORACLE_POLICY_H_
