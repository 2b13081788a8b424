// SPDX-License-Identifier: Apache-2.0
//
// What the simulation runs in each proxy: the program's own decision module or a reference policy, behind the
// module's own events and actions. A policy learns only what its proxy learns; the oracle alone is given
// more.
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
  // The response to a probe: requests running or queued at the backend, and what its last requests took.
  virtual void OnProbe(TimePoint /*now*/, BackendId /*backend*/, int /*in_flight*/, double /*latency_ms*/) {}
};

// The true state of the backends, for the oracle.
class BackendTruth {
 public:
  virtual ~BackendTruth() = default;
  // Milliseconds until the response to a request of that work, sent now by this proxy, would be back; below
  // 0: never. `key` 0: none.
  virtual double ResponseTime(std::uint32_t proxy, BackendId backend, double work_ms,
                              std::uint64_t key) const = 0;
};

struct PolicyContext {
  Settings settings;
  std::uint64_t seed = 0;
  const BackendTruth* truth = nullptr;
  std::function<void(BackendId)> probe;  // sends a probe, at a small cost to the backend
};

// A name is `ours`, `oracle`, or a reference policy and how it retries: `p2c`, `p2c+3` (three retries),
// `p2c+budget`, or an admission gate and that budget, as in `p2c+codel`. Throws std::invalid_argument on an
// unknown one, with those known.
std::unique_ptr<Policy> MakePolicy(const std::string& name, PolicyContext context);
std::vector<std::string> ReferencePolicyNames();  // without the suffixes

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_POLICIES_POLICY_H_
