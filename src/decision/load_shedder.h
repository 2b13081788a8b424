// SPDX-License-Identifier: Apache-2.0
//
// Decides which requests are rejected on arrival under overload, and how long their clients are told to stay
// away.
#ifndef COPPERPOINT_DECISION_LOAD_SHEDDER_H_
#define COPPERPOINT_DECISION_LOAD_SHEDDER_H_

#include <algorithm>
#include <cstdint>

#include "copperpoint/balancer.h"
#include "decision/random.h"

namespace copperpoint {

// Sheds by fingerprint, as DAGOR does by user, so that all proxies reject the same logical requests and the
// others succeed at their first attempt. Requests over their tenant's quota are shed first. Applies where
// many proxies share the traffic: there, a concurrency limit of one or two attempts is too coarse to protect
// the backends, and a rejected client returns to another proxy.
//
// Owns the pressure: the fraction of the latency objective that answers take, over its target. A request that
// got no capacity counts as one that took all of its objective.
class LoadShedder {
 public:
  struct Arrival {
    std::uint64_t fingerprint = 0;
    bool has_work_estimate = false;
    bool over_quota = false;
  };
  // `concurrency_limit_suffices`: few proxies, each with enough traffic, so that the concurrency limit alone
  // protects the backends.
  bool ShouldShed(const Arrival& arrival, bool concurrency_limit_suffices, Random& random) const;

  // 1: answers take just the target. Requests are shed above.
  double pressure() const { return objective_fraction_ / kTargetFraction; }
  bool IsRelaxed() const { return pressure() < kRelaxedPressure; }

  void OnLatency(double latency_ms, Duration latency_objective);
  void OnNoCapacity();
  void Decay(Duration elapsed);

 private:
  static constexpr double kTargetFraction = 0.4;  // of the objective, in the mean; the rest is for variation
  static constexpr double kRelaxedPressure = 0.7;

  double objective_fraction_ = 0;
};

// The Retry-After of a rejected client, 0 for none. One whose objective can't be met would return only to be
// late and take capacity from one in time, so it is told to stay away until its deadline, if clients follow
// that long. Otherwise a tenth of the advice is random, to spread clients that were rejected together.
Duration RetryAfterFor(Duration deadline, Duration max_retry_after, int client_attempts, Random& random);

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_LOAD_SHEDDER_H_
