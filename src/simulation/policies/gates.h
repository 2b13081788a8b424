// SPDX-License-Identifier: Apache-2.0
//
// Ways to admit requests under overload, each from its published description, to be put before a rival's
// pick. A gate sees arrivals and answers of one proxy and decides who is refused on arrival. What a request
// waited in queues is taken as its time beyond the least that its work took of late.
#ifndef COPPERPOINT_SIMULATION_POLICIES_GATES_H_
#define COPPERPOINT_SIMULATION_POLICIES_GATES_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "copperpoint/balancer.h"

namespace copperpoint::simulation {

class Gate {
 public:
  virtual ~Gate() = default;
  // `in_flight`: attempts of this proxy that are out.
  virtual bool Admits(TimePoint now, const RequestReceived& submit, int in_flight) = 0;
  // An attempt was answered, or timed out, after `took_ms`; `work_ms`: its hint.
  virtual void Answered(TimePoint now, double took_ms, double work_ms, int in_flight) = 0;
};

// gradient: the limit follows the ratio of the usual to the present time (Netflix, concurrency-limits,
//   Gradient2).
// codel: refuses at a rising rate while the least wait of an interval is over its target (Nichols and
//   Jacobson, RFC 8289, applied to arrivals).
// dagor: levels by worth of the class and a hash of the account, moved by the mean wait of a window (Zhou
//   et al., SoCC 2018).
// breakwater: credits that grow while the wait is under a target and shrink by how far it is over (Cho et
//   al., OSDI 2020); those without one are refused.
// Throws std::invalid_argument for another name.
std::unique_ptr<Gate> MakeGate(const std::string& name, const Settings& settings);
std::vector<std::string> GateNames();

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_POLICIES_GATES_H_
