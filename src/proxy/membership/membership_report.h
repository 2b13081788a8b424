// SPDX-License-Identifier: Apache-2.0
//
// Reports this proxy's membership: as the JSON of GET /fleet, and as events in the log.
#ifndef COPPERPOINT_PROXY_MEMBERSHIP_MEMBERSHIP_REPORT_H_
#define COPPERPOINT_PROXY_MEMBERSHIP_MEMBERSHIP_REPORT_H_

#include <optional>
#include <string>
#include <vector>

#include "membership/membership.h"
#include "peers/transport.h"

namespace copperpoint::proxy {

struct MembershipStatus {
  const std::string& cluster;
  const membership::Membership& view;
  membership::Time now{};                       // by the host's clock
  std::optional<double> ring_offset;            // nothing until it is known
  const peers::Transport::Counters* transport;  // null while the sockets are closed
};

// docs/membership.md lists the fields.
std::string MembershipJson(const MembershipStatus& status);

void LogMembershipEvents(const std::vector<membership::Event>& events);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_MEMBERSHIP_MEMBERSHIP_REPORT_H_
