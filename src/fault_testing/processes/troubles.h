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

class ServiceFaults {
 public:
  ServiceFaults(const Plan& plan, std::uint64_t seed) : plan_(plan), seed_(seed) {}

  void AddFault(const Fault& fault);  // one on the service
  void RemoveFault(const Fault& fault);

  bool IsFrozen(int backend) const { return MaxAmount(FaultKind::kFreeze, backend, 0) > 0; }
  double FailureShare(int backend) const {
    return MaxAmount(FaultKind::kFail, backend, 0);
  }  // share of requests
  double ResetShare(int backend) const { return MaxAmount(FaultKind::kReset, backend, 0); }
  double SlowdownFactor(int backend) const {
    return MaxAmount(FaultKind::kSlow, backend, 1);
  }                                          // times as long
  bool IsCut(int proxy, int backend) const;  // kDiscovery is a backend here

 private:
  struct ActiveFault {
    const Fault* fault;
    std::set<int> proxies, backends;
  };
  double MaxAmount(FaultKind kind, int backend, double default_amount) const;

  const Plan& plan_;
  const std::uint64_t seed_;
  std::vector<ActiveFault> active_;
};

}  // namespace copperpoint::fault_testing

#endif  // COPPERPOINT_FAULT_TESTING_PROCESSES_TROUBLES_H_
