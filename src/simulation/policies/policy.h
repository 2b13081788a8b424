// SPDX-License-Identifier: Apache-2.0
//
// What the emulator hosts in each proxy: the program's own decision module or a rival, behind the module's
// own events and actions. A policy hears only what its proxy hears; the oracle alone is given more.
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
  virtual void Handle(TimePoint now, const Event& event, std::vector<Action>* actions) = 0;
  // The answer to a probe: requests in work or waiting there, and what its last requests took.
  virtual void OnProbe(TimePoint, BackendId, int /*in_flight*/, double /*latency_ms*/) {}
};

// The true state of the backends, for the oracle.
class Truth {
 public:
  virtual ~Truth() = default;
  // When an answer to a request of `work` ms, sent now by this proxy, would be back, in ms from now; below 0:
  // never. `key` 0: none.
  virtual double AnswerIn(std::uint32_t proxy, BackendId backend, double work, std::uint64_t key) const = 0;
};

struct PolicyContext {
  Settings settings;
  std::uint64_t seed = 0;
  const Truth* truth = nullptr;
  std::function<void(BackendId)> probe;  // asks a backend how it is, at a small cost to it
};

// A name is `ours`, `oracle`, or a rival and how it repeats: `p2c`, `p2c+3` (three repeats), `p2c+budget`.
// Throws std::invalid_argument on an unknown one, with those known.
std::unique_ptr<Policy> MakePolicy(const std::string& name, PolicyContext context);
std::vector<std::string> RivalNames();  // without the suffixes

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_POLICIES_POLICY_H_
