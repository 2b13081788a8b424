// SPDX-License-Identifier: Apache-2.0
//
// The decision logic that the simulation runs in each proxy: the balancer, the oracle or a reference policy,
// all with the balancer's events and actions. A policy receives only what its proxy observes; the oracle
// additionally knows the true state of the backends.
#ifndef COPPERPOINT_SIMULATION_POLICIES_POLICY_H_
#define COPPERPOINT_SIMULATION_POLICIES_POLICY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "copperpoint/balancer.h"

namespace copperpoint::simulation {

class Policy {
 public:
  virtual ~Policy() = default;
  // Appends the actions that follow from the event to `actions`.
  virtual void Handle(TimePoint now, const Event& event, std::vector<Action>* actions) = 0;
  // The response to a probe: `in_flight` requests run or wait at the backend; `latency_ms` is its recent
  // latency.
  virtual void OnProbe(TimePoint /*now*/, BackendId /*backend*/, int /*in_flight*/, double /*latency_ms*/) {}
};

// The true state of the backends, for the oracle.
class BackendTruth {
 public:
  virtual ~BackendTruth() = default;
  // Returns the milliseconds until the response to a request of that work would arrive if this proxy sent it
  // now, or a negative number if none would arrive. `key` 0: the request has no key.
  virtual double ResponseTime(std::uint32_t proxy, BackendId backend, double work_ms,
                              std::uint64_t key) const = 0;
};

struct PolicyContext {
  Settings settings;
  std::uint64_t seed = 0;
  const BackendTruth* truth = nullptr;   // for the oracle only; must outlive the policy
  std::function<void(BackendId)> probe;  // sends a probe, which costs the backend a little work
};

// Makes the policy of that name: `ours` (the balancer), `oracle`, or a reference policy. The suffix of a
// reference policy limits its retries: none in `p2c`, three in `p2c+3`, a retry budget in `p2c+budget`; or
// names an admission gate, used with that budget: `p2c+codel`. Throws std::invalid_argument, which lists the
// known names, if the name is unknown.
std::unique_ptr<Policy> MakePolicy(const std::string& name, PolicyContext context);
std::vector<std::string> ReferencePolicyNames();  // without the suffixes

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_POLICIES_POLICY_H_
