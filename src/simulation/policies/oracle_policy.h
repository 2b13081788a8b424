// SPDX-License-Identifier: Apache-2.0
//
// The oracle sees the true state of the backends: it sends to the one whose response would be back first, and
// rejects at once what no backend can answer in time. It can't undo what was sent and does not know what
// comes next: a strong figure to compare with, not a proof of the best. On large fleets it looks at a sample.
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
  // Milliseconds; below 0: never.
  double ResponseTime(const OpenRequest& request, int index) const;

  Random random_;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_POLICIES_ORACLE_POLICY_H_
