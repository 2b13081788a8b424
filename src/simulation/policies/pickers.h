// SPDX-License-Identifier: Apache-2.0
//
// How rivals choose a backend: each from its published description. They know their own proxy's traffic
// only. Repeats are not theirs: see repeater.h.
#ifndef COPPERPOINT_SIMULATION_POLICIES_PICKERS_H_
#define COPPERPOINT_SIMULATION_POLICIES_PICKERS_H_

#include <memory>
#include <string>
#include <vector>

#include "simulation/core/random.h"
#include "simulation/policies/policy.h"

namespace copperpoint::simulation {

// A backend as a rival sees it.
struct Candidate {
  BackendId id = 0;
  bool listed = false;  // ready, as far as this proxy has heard
  int in_flight = 0;
};

class Picker {
 public:
  virtual ~Picker() = default;
  // An index into `all`, one that is listed; below 0 if there is none. `tried` are to be avoided if possible.
  virtual int Pick(TimePoint now, const std::vector<Candidate>& all, const std::vector<int>& listed,
                   const std::vector<int>& tried) = 0;
  virtual void Sent(TimePoint, int /*index*/) {}
  // `proof` of an answer: ok or not, and its time.
  virtual void Ended(TimePoint, int /*index*/, bool /*ok*/, double /*took_ms*/) {}
  virtual void Probed(TimePoint, int /*index*/, int /*in_flight*/, double /*latency_ms*/) {}
  // The number of backends ever heard of may have grown.
  virtual void Resize(std::size_t) {}
};

// Null if there is none of that name.
std::unique_ptr<Picker> MakePicker(const std::string& name, std::uint64_t seed,
                                   std::function<void(int)> probe);
std::vector<std::string> PickerNames();

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_POLICIES_PICKERS_H_
