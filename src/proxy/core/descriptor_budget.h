// SPDX-License-Identifier: Apache-2.0
//
// Divides the file descriptors that the process may hold between clients and backends.
#ifndef COPPERPOINT_PROXY_CORE_DESCRIPTOR_BUDGET_H_
#define COPPERPOINT_PROXY_CORE_DESCRIPTOR_BUDGET_H_

#include <cstddef>

#include "proxy/config/config.h"

namespace copperpoint::proxy {

// A calculation without state of its own; whoever owns the connections applies the limits.
class DescriptorBudget {
 public:
  // Connections, at most.
  struct Limits {
    std::size_t clients = 0;
    std::size_t backends = 0;
  };

  // `max_descriptors`: of the process. `reserved`: for what is no connection of a client or a backend.
  // `client_fraction`: of the rest, 0 to 1; backends have what remains.
  DescriptorBudget(int max_descriptors, int reserved, double client_fraction);
  explicit DescriptorBudget(const Config& config);

  // While this process is the only one of its proxy.
  Limits ForSingleProcess() const;
  // While another process of the proxy holds so many descriptors: both together hold no more than one may,
  // but for a minimum that lets this one work.
  Limits BesideProcess(int other_descriptors) const;
  // Descriptors in use, the reserved ones counted in full.
  int InUse(std::size_t client_connections, std::size_t backend_connections) const;

 private:
  Limits Divide(double descriptors) const;

  int reserved_;
  double connections_;  // of clients and backends together
  double client_fraction_;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_CORE_DESCRIPTOR_BUDGET_H_
