// SPDX-License-Identifier: Apache-2.0
#include "fault_testing/processes/service_faults.h"

#include <algorithm>

namespace copperpoint::fault_testing {

void ServiceFaults::AddFault(const Fault& fault) {
  const bool cut = fault.kind == FaultKind::kCutService;
  const std::vector<int> backends = SelectBackends(plan_, cut ? fault.to : fault.who, seed_);
  const std::vector<int> proxies = cut ? SelectMembers(plan_, fault.who, seed_) : std::vector<int>();
  active_.push_back({&fault, {proxies.begin(), proxies.end()}, {backends.begin(), backends.end()}});
}

void ServiceFaults::RemoveFault(const Fault& fault) {
  std::erase_if(active_, [&](const ActiveFault& active) { return active.fault == &fault; });
}

double ServiceFaults::MaxAmount(FaultKind kind, int backend, double default_amount) const {
  double highest = default_amount;
  for (const ActiveFault& active : active_)
    if (active.fault->kind == kind && active.backends.contains(backend))
      highest = std::max(highest, active.fault->amount);
  return highest;
}

bool ServiceFaults::IsCut(int proxy, int backend) const {
  return std::any_of(active_.begin(), active_.end(), [&](const ActiveFault& active) {
    return active.fault->kind == FaultKind::kCutService && active.proxies.contains(proxy) &&
           active.backends.contains(backend);
  });
}

}  // namespace copperpoint::fault_testing
