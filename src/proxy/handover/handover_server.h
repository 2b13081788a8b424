// SPDX-License-Identifier: Apache-2.0
//
// The predecessor's side of a handover: a socket in the proxy's state directory at which a successor requests
// the listening socket.
#ifndef COPPERPOINT_PROXY_HANDOVER_HANDOVER_SERVER_H_
#define COPPERPOINT_PROXY_HANDOVER_HANDOVER_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

#include "proxy/handover/discovery_reload_message.h"
#include "proxy/handover/endpoint_list_exchange.h"
#include "proxy/handover/endpoint_list_message.h"
#include "proxy/handover/handover_messages.h"
#include "proxy/handover/message_socket.h"

namespace copperpoint::proxy {

// Owns the socket in the state directory and the connection to the one successor.
//
//   kServing ---- a valid request, granted by the delegate --> kHandedOver
//   kHandedOver - the successor's connection ends -----------> kServing
//
// A request for another address, or one that the delegate refuses, closes the connection and changes nothing.
class HandoverServer : public EndpointListChannel {
 public:
  struct Grant {
    int listener = OwnedDescriptor::kNone;  // owned by the delegate; the successor gets a copy
    HandoverState state;
    std::optional<EndpointListMessage> endpoint_list;  // sent behind the state
  };
  class Delegate {
   public:
    virtual ~Delegate() = default;
    // Called when a successor is about to serve. Returns nothing if no listening socket is left to hand over.
    virtual std::optional<Grant> OnListenerRequested() = 0;
    // Called when the successor has handed its endpoint list back.
    virtual void OnSuccessorEndpoints(const ReceivedMessage& message) = 0;
    // Called when the successor has exited or closed its connection: this process serves alone again.
    virtual void OnSuccessorExited() = 0;
  };

  // Listens at `path` and replaces a socket that is there. If that fails, no successor can connect, and one
  // begins to serve without this process's state. `listen` is the address that a successor must name.
  HandoverServer(boost::asio::io_context& io, std::string path, const boost::asio::ip::tcp::endpoint& listen,
                 Delegate& delegate);
  // Removes the socket from the directory unless a successor has taken over, which then owns the path.
  ~HandoverServer() override;
  HandoverServer(const HandoverServer&) = delete;
  HandoverServer& operator=(const HandoverServer&) = delete;

  // Sends the report to the successor, if there is one.
  void SendReport(const DescriptorReport& report);
  // Returns false if there is no successor, or the message was not sent.
  bool SendDiscoveryReload(const DiscoveryReload& reload);
  bool CanSendEndpointList() override;
  bool SendEndpointList(const EndpointListMessage& message) override;

 private:
  enum class State { kServing, kHandedOver };

  bool has_successor() const { return state_ == State::kHandedOver && socket_.is_open(); }
  void Listen();
  void Accept();
  void WaitForMessage();
  bool OnMessage(const ReceivedMessage& message);
  void OnConnectionEnded();

  const std::string path_;
  const boost::asio::ip::tcp::endpoint listen_;
  Delegate& delegate_;
  SeqPacketProtocol::acceptor acceptor_;
  SeqPacketProtocol::socket socket_;  // to the successor
  State state_ = State::kServing;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_HANDOVER_HANDOVER_SERVER_H_
