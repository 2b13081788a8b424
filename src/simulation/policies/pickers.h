// SPDX-License-Identifier: Apache-2.0
//
// Algorithms by which reference policies pick a backend, each implemented from its published description. A
// picker knows the traffic of its own proxy only and does not decide about retries (see reference_policy.h).
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
  int in_flight = 0;   // attempts of this proxy
};

// Backends are identified by their index into the list of all backends that were ever listed.
class Picker {
 public:
  virtual ~Picker() = default;
  // Returns one of `ready`, or a negative number if it is empty. Backends in `tried` are avoided if possible.
  virtual int Pick(TimePoint now, const std::vector<Candidate>& all, const std::vector<int>& ready,
                   const std::vector<int>& tried) = 0;
  virtual void OnSent(TimePoint /*now*/, int /*index*/) {}
  virtual void OnCompleted(TimePoint /*now*/, int /*index*/, bool /*success*/, double /*duration_ms*/) {}
  virtual void OnProbe(TimePoint /*now*/, int /*index*/, int /*in_flight*/, double /*latency_ms*/) {}
  // Called before the next pick when the number of backends may have grown to `count`.
  virtual void Resize(std::size_t /*count*/) {}
};

// Returns null if no picker has that name. `probe` sends a probe to the backend with that index.
std::unique_ptr<Picker> MakePicker(const std::string& name, std::uint64_t seed,
                                   const std::function<void(int index)>& probe);
std::vector<std::string> PickerNames();

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_POLICIES_PICKERS_H_
