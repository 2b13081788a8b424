// SPDX-License-Identifier: Apache-2.0
//
// Admission control algorithms from the literature, each implemented from its published description and
// placed before the picker of a reference policy. A gate sees the requests and responses of one proxy and
// decides which requests are rejected on arrival. The queueing delay of a request is estimated as its
// duration beyond the shortest recent duration for the same amount of work.
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
  // Returns false if the request is to be rejected. `in_flight` is the number of this proxy's attempts.
  virtual bool Admits(TimePoint now, const RequestReceived& request, int in_flight) = 0;
  // Called when a response is received or an attempt times out, `duration_ms` after the start of the attempt.
  // `work_ms` is the estimated work of the request.
  virtual void OnResponseOrTimeout(TimePoint now, double duration_ms, double work_ms, int in_flight) = 0;
};

// Makes the gate of that name:
// - gradient: a concurrency limit that follows the ratio of the long-term to the current response time
//   (Netflix, concurrency-limits, Gradient2).
// - codel: rejects requests at an increasing rate while the minimum delay of an interval exceeds the target
//   (Nichols and Jacobson, RFC 8289, applied to arrivals).
// - dagor: orders requests in levels by the priority weight of the class and a hash of the tenant and the
//   key; the mean delay of a window determines which levels are admitted (Zhou et al., SoCC 2018).
// - breakwater: credits that grow while the delay is below the target and shrink in proportion to the excess
//   (Cho et al., OSDI 2020); requests without a credit are rejected.
// Throws std::invalid_argument for any other name.
std::unique_ptr<AdmissionGate> MakeAdmissionGate(const std::string& name, const Settings& settings);
std::vector<std::string> AdmissionGateNames();

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_POLICIES_ADMISSION_GATES_H_
