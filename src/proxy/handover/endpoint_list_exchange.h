// SPDX-License-Identifier: Apache-2.0
//
// Keeps the endpoint lists of the two processes of a proxy in step: what discovery has told one of them, the
// other one has to obey too.
#ifndef COPPERPOINT_PROXY_HANDOVER_ENDPOINT_LIST_EXCHANGE_H_
#define COPPERPOINT_PROXY_HANDOVER_ENDPOINT_LIST_EXCHANGE_H_

#include <cstdint>
#include <optional>

#include "proxy/clock.h"
#include "proxy/discovery/endpoints.h"
#include "proxy/handover/endpoint_list_message.h"
#include "proxy/handover/endpoint_list_origin.h"
#include "proxy/handover/message_socket.h"

namespace copperpoint::proxy {

// The endpoint list that this process uses.
class EndpointListStore {
 public:
  virtual ~EndpointListStore() = default;
  // Returns the complete list as discovery has it.
  virtual EndpointList ListedEndpoints() const = 0;
  // Replaces the list by a newer one, which the proxy received from discovery at `received_at`.
  virtual void ApplyHandedOver(const EndpointList& list, Steady::time_point received_at) = 0;
};

// The connection to the other process.
class EndpointListChannel {
 public:
  virtual ~EndpointListChannel() = default;
  // Returns whether the other process has taken part in a handover and has received all that was sent to it,
  // so that the lists under way stay bounded.
  virtual bool CanSendEndpointList() = 0;
  // Returns false if the list was not sent.
  virtual bool SendEndpointList(const EndpointListMessage& message) = 0;
};

// Owns the origin of the present list, and remembers what each peer has. EndpointListOrigin decides which of
// two lists is newer.
class EndpointListExchange {
 public:
  explicit EndpointListExchange(EndpointListStore& store) : store_(store) {}

  // To be called for each list from discovery that has been applied.
  void OnDiscoveryList(std::uint64_t revision);
  // To be called when another process becomes that peer.
  void OnPeerReplaced(HandoverPeer peer) { Shared(peer).reset(); }

  // Returns the present list; nothing if it is the configuration's, or could not be encoded.
  std::optional<EndpointListMessage> Encode() const;
  // Sends the present list, unless the peer has it. To be called regularly.
  void Share(HandoverPeer peer, EndpointListChannel& channel);
  // Applies the list of the peer if it is newer than the present one. A list that is malformed is ignored.
  void OnMessage(HandoverPeer peer, const ReceivedMessage& message);

 private:
  // When discovery sent the list that the peer has.
  std::optional<Steady::time_point>& Shared(HandoverPeer peer) {
    return peer == HandoverPeer::kPredecessor ? shared_with_predecessor_ : shared_with_successor_;
  }

  EndpointListStore& store_;
  EndpointListOrigin origin_;
  std::optional<Steady::time_point> shared_with_predecessor_, shared_with_successor_;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_HANDOVER_ENDPOINT_LIST_EXCHANGE_H_
