// SPDX-License-Identifier: Apache-2.0
//
// Divides the file descriptors that the process may hold between clients and backends.
#ifndef COPPERPOINT_PROXY_CORE_DESCRIPTOR_BUDGET_H_
#define COPPERPOINT_PROXY_CORE_DESCRIPTOR_BUDGET_H_

#include <cstddef>

#include "proxy/config/config.h"

namespace copperpoint::proxy {

// Calculates limits and holds no mutable state; the owners of the connections enforce the limits.
class DescriptorBudget {
 public:
  // Maximum numbers of connections.
  struct Limits {
    std::size_t clients = 0;
    std::size_t backends = 0;
  };

  // @param max_descriptors limit of the process. @param reserved for uses other than client and backend
  // connections. @param client_fraction of the others, 0 to 1; backends get the remainder.
  DescriptorBudget(int max_descriptors, int reserved, double client_fraction);
  explicit DescriptorBudget(const Config& config);

  // Limits while this process is the only one of its proxy.
  Limits ForSingleProcess() const;
  // Limits while another process of the proxy holds `other_descriptors`: both processes together stay within
  // the limit of one, except for a minimum that lets this process operate.
  Limits BesideProcess(int other_descriptors) const;
  // @return descriptors in use; all reserved descriptors count as used.
  int InUse(std::size_t client_connections, std::size_t backend_connections) const;

 private:
  Limits Divide(double descriptors) const;

  int reserved_;
  double connections_;  // maximum of client and backend connections together
  double client_fraction_;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_CORE_DESCRIPTOR_BUDGET_H_
