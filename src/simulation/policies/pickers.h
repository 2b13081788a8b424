// SPDX-License-Identifier: Apache-2.0
//
// How reference policies choose a backend, each from its published description. They know their own proxy's
// traffic only; retries are not theirs (reference_policy.h).
#ifndef COPPERPOINT_SIMULATION_POLICIES_PICKERS_H_
#define COPPERPOINT_SIMULATION_POLICIES_PICKERS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "copperpoint/balancer.h"

namespace copperpoint::simulation {

// A backend as a reference policy sees it.
struct Candidate {
  BackendId id = 0;
  bool ready = false;  // as far as this proxy knows
  int in_flight = 0;
};

// Backends are named by their index into the list of all that were ever listed.
class Picker {
 public:
  virtual ~Picker() = default;
  // One of `ready`, below 0 if there is none. Those `tried` are avoided if possible.
  virtual int Pick(TimePoint now, const std::vector<Candidate>& all, const std::vector<int>& ready,
                   const std::vector<int>& tried) = 0;
  virtual void OnSent(TimePoint /*now*/, int /*index*/) {}
  virtual void OnCompleted(TimePoint /*now*/, int /*index*/, bool /*success*/, double /*took_ms*/) {}
  virtual void OnProbe(TimePoint /*now*/, int /*index*/, int /*in_flight*/, double /*latency_ms*/) {}
  // The number of backends may have grown.
  virtual void Resize(std::size_t /*count*/) {}
};

// Null if there is none of that name. `probe` sends a probe to a backend.
std::unique_ptr<Picker> MakePicker(const std::string& name, std::uint64_t seed,
                                   const std::function<void(int index)>& probe);
std::vector<std::string> PickerNames();

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_POLICIES_PICKERS_H_
