// SPDX-License-Identifier: Apache-2.0
#include "fault_testing/processes/troubles.h"

#include <algorithm>

namespace copperpoint::fault_testing {

void Troubles::Begin(const Fault& fault) {
  const bool cut = fault.kind == FaultKind::kCutService;
  const std::vector<int> backends = ChosenBackends(plan_, cut ? fault.to : fault.who, seed_);
  const std::vector<int> proxies = cut ? Chosen(plan_, fault.who, seed_) : std::vector<int>();
  in_force_.push_back({&fault, {proxies.begin(), proxies.end()}, {backends.begin(), backends.end()}});
}

void Troubles::End(const Fault& fault) {
  std::erase_if(in_force_, [&](const InForce& of) { return of.fault == &fault; });
}

double Troubles::Of(FaultKind kind, int backend, double without) const {
  double most = without;
  for (const InForce& of : in_force_)
    if (of.fault->kind == kind && of.backends.contains(backend)) most = std::max(most, of.fault->amount);
  return most;
}

bool Troubles::Cut(int proxy, int backend) const {
  return std::any_of(in_force_.begin(), in_force_.end(), [&](const InForce& of) {
    return of.fault->kind == FaultKind::kCutService && of.proxies.contains(proxy) &&
           of.backends.contains(backend);
  });
}

}  // namespace copperpoint::fault_testing
