// SPDX-License-Identifier: Apache-2.0
//
// Repeats probes for other members, and forwards the acks to them.
#ifndef COPPERPOINT_MEMBERSHIP_PROBE_RELAY_H_
#define COPPERPOINT_MEMBERSHIP_PROBE_RELAY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "membership/claim_builder.h"
#include "membership/local_member.h"
#include "membership/member_table.h"
#include "membership/message_sender.h"
#include "membership/options.h"
#include "membership/probes.h"

namespace copperpoint::membership {

// Owns the relayed probes that are not answered yet.
class ProbeRelay {
 public:
  ProbeRelay(const Options& options, const MemberTable& members, const ClaimBuilder& claims,
             const LocalMember& local, OutstandingProbes& probes, MessageSender& sender);

  // Handles the request of a member, at the address `from`, to probe another one. The requester receives a
  // nack at once, with this member's last contact with the target if that was within contact_timeout, and the
  // ack if the target answers.
  void OnIndirectPing(const wire::Message& message, const std::string& from, Time now);
  // Forwards the ack of a relayed probe to the requester. Returns false if the ack answers no relayed probe.
  bool OnAck(const wire::Message& message, Time now);
  Time next() const;  // the time at which OnTimer is due
  void OnTimer(Time now);

 private:
  struct RelayedProbe {
    std::uint32_t id = 0;            // the id of this member's ping
    std::uint32_t requester_id = 0;  // the id of the requester's probe
    std::string requester, requester_address, target;
    Time expires{};
  };

  const Options& options_;
  const MemberTable& members_;
  const ClaimBuilder& claims_;
  const LocalMember& local_;
  OutstandingProbes& probes_;
  MessageSender& sender_;
  std::vector<RelayedProbe> relayed_;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_PROBE_RELAY_H_
