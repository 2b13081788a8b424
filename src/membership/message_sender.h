// SPDX-License-Identifier: Apache-2.0
//
// Composes and encodes the messages that this member sends, and adds queued claims to the datagrams that have
// space for them.
#ifndef COPPERPOINT_MEMBERSHIP_MESSAGE_SENDER_H_
#define COPPERPOINT_MEMBERSHIP_MESSAGE_SENDER_H_

#include <cstdint>
#include <string>

#include "membership/claim_builder.h"
#include "membership/document_store.h"
#include "membership/gossip_allowance.h"
#include "membership/gossip_queue.h"
#include "membership/local_member.h"
#include "membership/member_table.h"
#include "membership/options.h"
#include "membership/output.h"
#include "peers/frame.h"

namespace copperpoint::membership {

// Owns the sequence number of the last message, and the allowance for gossip. Frames are appended to the
// output in the order in which they are to be sent.
class MessageSender {
 public:
  MessageSender(const Options& options, const peers::FrameCodec& codec, const MemberTable& members,
                GossipQueue& queue, const DocumentStore& documents, const ClaimBuilder& claims,
                const LocalMember& local, Output& output, Counters& counters, Time now);

  // Returns a message of this member with the next sequence number.
  wire::Message NewMessage(wire::Kind kind);
  // Sends a datagram to an address; `recipient` is the index of the member there, or MemberTable::kNotFound.
  // A recipient that is suspected or marked dead receives that claim before others, to refute it (Lifeguard).
  void Send(wire::Message message, const std::string& address, int recipient, Time now);
  // Opens an exchange with the member at `address`.
  void SendExchange(const std::string& address, const wire::Message& message);
  // Returns the frame of a reply within an exchange.
  std::string Encode(const wire::Message& message) const { return codec_.Encode(message); }

 private:
  const Options& options_;
  const peers::FrameCodec& codec_;
  const MemberTable& members_;
  GossipQueue& queue_;
  const DocumentStore& documents_;
  const ClaimBuilder& claims_;
  const LocalMember& local_;
  Output& output_;
  Counters& counters_;
  GossipAllowance allowance_;
  std::uint32_t sequence_ = 0;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_MESSAGE_SENDER_H_
