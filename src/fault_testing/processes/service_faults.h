// SPDX-License-Identifier: Apache-2.0
//
// The active service faults: the faults of each stand-in backend, and the proxies that are cut off from it.
#ifndef COPPERPOINT_FAULT_TESTING_PROCESSES_SERVICE_FAULTS_H_
#define COPPERPOINT_FAULT_TESTING_PROCESSES_SERVICE_FAULTS_H_

#include <cstdint>
#include <set>
#include <vector>

#include "fault_testing/plan.h"

namespace copperpoint::fault_testing {

class ServiceFaults {
 public:
  ServiceFaults(const Plan& plan, std::uint64_t seed) : plan_(plan), seed_(seed) {}

  void AddFault(const Fault& fault);  // a service fault; must stay valid until RemoveFault
  void RemoveFault(const Fault& fault);

  bool IsFrozen(int backend) const { return MaxAmount(FaultKind::kFreeze, backend, 0) > 0; }
  // Shares of requests.
  double FailureShare(int backend) const { return MaxAmount(FaultKind::kFail, backend, 0); }
  double ResetShare(int backend) const { return MaxAmount(FaultKind::kReset, backend, 0); }
  double SlowdownFactor(int backend) const { return MaxAmount(FaultKind::kSlow, backend, 1); }
  bool IsCut(int proxy, int backend) const;  // `backend` may be kDiscovery

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

#endif  // COPPERPOINT_FAULT_TESTING_PROCESSES_SERVICE_FAULTS_H_
