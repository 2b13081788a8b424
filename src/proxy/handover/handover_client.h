// SPDX-License-Identifier: Apache-2.0
//
// The successor's side of a handover: requests the predecessor's listening socket and state.
#ifndef COPPERPOINT_PROXY_HANDOVER_HANDOVER_CLIENT_H_
#define COPPERPOINT_PROXY_HANDOVER_HANDOVER_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "proxy/handover/discovery_reload_message.h"
#include "proxy/handover/endpoint_list_exchange.h"
#include "proxy/handover/endpoint_list_message.h"
#include "proxy/handover/handover_messages.h"
#include "proxy/handover/message_socket.h"

namespace copperpoint::proxy {

// Why no listening socket was received.
enum class HandoverError {
  kTimeout,            // the predecessor did not answer in time
  kPredecessorClosed,  // it refused, exited, or sent a message that was cut off
  kInvalidListener,    // what it sent is not a socket that listens at this proxy's address
};

// Owns the connection to the predecessor.
//
//   kConnected -- RequestListener ------------------------> kRequested
//   kRequested -- a valid listening socket arrives -------> kReceived    OnListenerReceived
//   kRequested -- the same, and a list is announced ------> kAwaitingEndpoints
//   kRequested -- timeout, end of connection, invalid ----> kClosed      OnHandoverFailed
//   kAwaitingEndpoints -- the list arrives ---------------> kReceived    OnPredecessorEndpoints,
//   OnListenerReceived kAwaitingEndpoints -- timeout, end of connection -----> kReceived OnListenerReceived
//   kReceived --- end of connection ----------------------> kClosed      OnPredecessorExited
//
// A list that arrives later is reported in kReceived.
class HandoverClient : public EndpointListChannel {
 public:
  class Observer {
   public:
    virtual ~Observer() = default;
    // This process owns the socket from here on. DecodeHandoverState decodes `encoded_state`.
    virtual void OnListenerReceived(OwnedDescriptor listener, const std::string& encoded_state) = 0;
    virtual void OnHandoverFailed(HandoverError error) = 0;
    // Called for each endpoint list of the predecessor: before OnListenerReceived if it arrives in time.
    virtual void OnPredecessorEndpoints(const ReceivedMessage& message) = 0;
    // Called when a reload has moved the predecessor's discovery.
    virtual void OnPredecessorReloaded(const DiscoveryReload& reload) = 0;
    // Called only after OnListenerReceived, as is OnPredecessorExited.
    virtual void OnDescriptorReport(const DescriptorReport& report) = 0;
    virtual void OnPredecessorExited() = 0;
  };

  // Returns null if no process of the same user listens at `path`. `observer` must outlive the client.
  static std::unique_ptr<HandoverClient> Connect(boost::asio::io_context& io, const std::string& path,
                                                 Observer& observer);

  // May be called once. Either OnListenerReceived or OnHandoverFailed follows, never from within this call.
  void RequestListener(const boost::asio::ip::tcp::endpoint& listen, std::chrono::milliseconds timeout);

  bool CanSendEndpointList() override;
  bool SendEndpointList(const EndpointListMessage& message) override;

 private:
  enum class State { kConnected, kRequested, kAwaitingEndpoints, kReceived, kClosed };
  // An announced list is sent at once, so that only a predecessor that is held up takes longer.
  static constexpr std::chrono::milliseconds kEndpointListTimeout{100};

  HandoverClient(boost::asio::io_context& io, Observer& observer)
      : observer_(observer), socket_(io), timer_(io) {}
  void WaitForMessage();
  void OnReadable();
  void OnMessage(ReceivedMessage message);
  void OnListenerMessage(ReceivedMessage message);
  void AwaitEndpointList();
  void CompleteHandover();
  void OnConnectionEnded();
  void Fail(HandoverError error);

  Observer& observer_;
  SeqPacketProtocol::socket socket_;
  boost::asio::steady_timer timer_;
  boost::asio::ip::tcp::endpoint listen_;
  State state_ = State::kConnected;
  ReceivedMessage listener_message_;  // in kAwaitingEndpoints: the listening socket and the encoded state
};

// Returns the name for log lines.
const char* NameOf(HandoverError error);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_HANDOVER_HANDOVER_CLIENT_H_
