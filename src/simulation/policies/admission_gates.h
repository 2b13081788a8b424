// SPDX-License-Identifier: Apache-2.0
//
// Admission control under overload, each from its published description, to be put before a reference
// policy's picker. A gate sees arrivals and responses of one proxy and decides which requests are rejected on
// arrival. The queueing delay of a request is taken as its time beyond the least that its work took recently.
#ifndef COPPERPOINT_SIMULATION_POLICIES_ADMISSION_GATES_H_
#define COPPERPOINT_SIMULATION_POLICIES_ADMISSION_GATES_H_

#include <memory>
#include <string>
#include <vector>

#include "copperpoint/balancer.h"

namespace copperpoint::simulation {

class AdmissionGate {
 public:
  virtual ~AdmissionGate() = default;
  // `in_flight`: attempts of this proxy.
  virtual bool Admits(TimePoint now, const RequestReceived& request, int in_flight) = 0;
  // A response came, or an attempt timed out, after `took_ms`; `work_ms`: the estimate of its work.
  virtual void OnAnswered(TimePoint now, double took_ms, double work_ms, int in_flight) = 0;
};

// gradient: the limit follows the ratio of the usual to the present time (Netflix, concurrency-limits,
//   Gradient2).
// codel: rejects at a rising rate while the least delay of an interval is over its target (Nichols and
// Jacobson,
//   RFC 8289, applied to arrivals).
// dagor: levels by the priority weight of the class and a hash of the tenant, moved by the mean delay of a
// window
//   (Zhou et al., SoCC 2018).
// breakwater: credits that grow while the delay is under a target and shrink by how far it is over (Cho et
// al.,
//   OSDI 2020); requests without one are rejected.
// Throws std::invalid_argument for another name.
std::unique_ptr<AdmissionGate> MakeAdmissionGate(const std::string& name, const Settings& settings);
std::vector<std::string> AdmissionGateNames();

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_POLICIES_ADMISSION_GATES_H_
