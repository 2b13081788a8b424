// SPDX-License-Identifier: Apache-2.0
//
// The faults in force at the stand-ins: what ails a backend, and which proxies it cannot talk to.
#ifndef COPPERPOINT_FAULT_TESTING_PROCESSES_TROUBLES_H_
#define COPPERPOINT_FAULT_TESTING_PROCESSES_TROUBLES_H_

#include <cstdint>
#include <set>
#include <vector>

#include "fault_testing/plan.h"

namespace copperpoint::fault_testing {

class Troubles {
 public:
  Troubles(const Plan& plan, std::uint64_t seed) : plan_(plan), seed_(seed) {}

  void Begin(const Fault& fault);  // one on the service
  void End(const Fault& fault);

  bool Frozen(int backend) const { return Of(FaultKind::kFreeze, backend, 0) > 0; }
  double Failing(int backend) const { return Of(FaultKind::kFail, backend, 0); }  // share of requests
  double Resetting(int backend) const { return Of(FaultKind::kReset, backend, 0); }
  double Slowness(int backend) const { return Of(FaultKind::kSlow, backend, 1); }  // times as long
  bool Cut(int proxy, int backend) const;  // kDiscovery is a backend here

 private:
  struct InForce {
    const Fault* fault;
    std::set<int> proxies, backends;
  };
  double Of(FaultKind kind, int backend, double without) const;

  const Plan& plan_;
  const std::uint64_t seed_;
  std::vector<InForce> in_force_;
};

}  // namespace copperpoint::fault_testing

#endif  // COPPERPOINT_FAULT_TESTING_PROCESSES_TROUBLES_H_
