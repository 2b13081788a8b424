// SPDX-License-Identifier: Apache-2.0
#include "proxy/core/descriptor_budget.h"

#include <algorithm>

#include "proxy/admin/admin_server.h"
#include "proxy/membership/membership_host.h"

namespace copperpoint::proxy {
namespace {

// Reserved for standard streams, the event loop, the listener, discovery watches and a connection being
// accepted.
constexpr int kBaseDescriptors = 24;
constexpr int kAdminDescriptors = static_cast<int>(AdminServer::kMaxConnections) + 2;
// Minimum of client and backend connections together, however many descriptors another process holds.
constexpr int kMinConnections = 32;

int ReservedDescriptors(const Config& config) {
  return kBaseDescriptors + (config.admin_address ? kAdminDescriptors : 0) +
         (config.fleet.on() ? MembershipHost::kMaxDescriptors : 0);
}

}  // namespace

DescriptorBudget::DescriptorBudget(int max_descriptors, int reserved, double client_fraction)
    : reserved_(reserved), connections_(max_descriptors - reserved), client_fraction_(client_fraction) {}

DescriptorBudget::DescriptorBudget(const Config& config)
    : DescriptorBudget(config.sockets, ReservedDescriptors(config), config.shares.client_descriptors) {}

DescriptorBudget::Limits DescriptorBudget::Divide(double descriptors) const {
  return {static_cast<std::size_t>(descriptors * client_fraction_),
          static_cast<std::size_t>(descriptors * (1 - client_fraction_))};
}

DescriptorBudget::Limits DescriptorBudget::ForSingleProcess() const { return Divide(connections_); }

DescriptorBudget::Limits DescriptorBudget::BesideProcess(int other_descriptors) const {
  return Divide(std::max<double>(kMinConnections, connections_ - std::max(0, other_descriptors)));
}

int DescriptorBudget::InUse(std::size_t client_connections, std::size_t backend_connections) const {
  return static_cast<int>(client_connections + backend_connections) + reserved_;
}

}  // namespace copperpoint::proxy
