// SPDX-License-Identifier: Apache-2.0
//
// Decides which requests are rejected on arrival under overload, and the Retry-After of rejected requests.
#ifndef COPPERPOINT_DECISION_LOAD_SHEDDER_H_
#define COPPERPOINT_DECISION_LOAD_SHEDDER_H_

#include <algorithm>
#include <cstdint>

#include "copperpoint/balancer.h"
#include "decision/random.h"

namespace copperpoint {

// Sheds by fingerprint, as DAGOR does by user, so that all proxies reject the same logical requests and the
// other requests succeed at their first attempt. Requests over their tenant's quota are shed first. Used if
// many proxies share the traffic: a concurrency limit of one or two attempts per proxy is then too coarse to
// protect the backends, and a rejected client retries at another proxy.
//
// Owns the pressure: the mean fraction of the latency objective that answers take, over its target value. A
// request that got no capacity counts as one that took all of its objective.
class LoadShedder {
 public:
  struct Arrival {
    std::uint64_t fingerprint = 0;
    bool has_work_estimate = false;
    bool over_quota = false;
  };
  // Returns whether the request is to be rejected. `concurrency_limit_suffices`: there are few proxies, each
  // with enough traffic that the concurrency limit alone protects the backends; nothing is shed then.
  bool ShouldShed(const Arrival& arrival, bool concurrency_limit_suffices, Random& random) const;

  // The load relative to the target: at 1, answers take kTargetFraction of their latency objective in the
  // mean. Requests are shed while the pressure is above 1.
  double pressure() const { return objective_fraction_ / kTargetFraction; }
  bool IsRelaxed() const { return pressure() < kRelaxedPressure; }

  // Records an answer that took `latency_ms`.
  void OnLatency(double latency_ms, Duration latency_objective);
  // Records a request that was rejected because no capacity came free in time.
  void OnNoCapacity();
  // Moves the pressure towards 0 for the last `elapsed`.
  void Decay(Duration elapsed);

 private:
  // Target of the mean latency as a fraction of the latency objective; the rest allows for variation.
  static constexpr double kTargetFraction = 0.4;
  static constexpr double kRelaxedPressure = 0.7;

  double objective_fraction_ = 0;  // mean latency of answers as a fraction of their latency objective
};

// Returns the Retry-After for a rejected client, 0 for none. A retry whose latency objective can't be met any
// more would be late and take capacity from requests that are in time. Therefore the client is told to wait
// until its deadline, if clients follow so long a Retry-After. Otherwise it gets max_retry_after, of which a
// tenth is random, to spread the retries of clients that were rejected together.
Duration RetryAfterFor(Duration deadline, Duration max_retry_after, int client_attempts, Random& random);

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_LOAD_SHEDDER_H_
