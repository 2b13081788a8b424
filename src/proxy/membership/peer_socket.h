// SPDX-License-Identifier: Apache-2.0
//
// Opens the sockets to the other members, and passes frames between them and this proxy.
#ifndef COPPERPOINT_PROXY_MEMBERSHIP_PEER_SOCKET_H_
#define COPPERPOINT_PROXY_MEMBERSHIP_PEER_SOCKET_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "membership/membership.h"
#include "peers/transport.h"

namespace copperpoint::proxy {

// Owns the transport. The socket is closed until Open has bound the address.
class PeerSocket {
 public:
  class Observer {
   public:
    virtual ~Observer() = default;
    // Called when the address is bound: frames are sent and received from now on.
    virtual void OnOpen() = 0;
    virtual void OnDatagram(const std::string& from, std::string_view frame) = 0;
    // Handles another member's exchange. Returns the frame to reply with; empty: no reply.
    virtual std::string OnExchange(std::string_view frame) = 0;
    // Receives the reply to an exchange that this member has started.
    virtual void OnReply(std::string_view frame) = 0;
  };

  // The most descriptors held at a time: both sockets, and exchanges.
  static constexpr int kMaxDescriptors = 18;

  // `observer` must outlive this object.
  PeerSocket(boost::asio::io_context& io, const boost::asio::ip::udp::endpoint& listen, Observer& observer);

  // Binds the address; while another process has it, as in an upgrade, retries until it is free. Then calls
  // OnOpen, possibly from within this call. Throws boost::system::system_error on any other failure.
  void Open();
  // Stops sending, receiving and retrying.
  void Close();
  bool is_open() const { return transport_ != nullptr; }

  // Sends the datagrams and starts the exchanges; has no effect while closed.
  void Send(const membership::Output& output);

  // Returns null while closed.
  const peers::Transport::Counters* counters() const {
    return transport_ ? &transport_->counters() : nullptr;
  }

 private:
  peers::Transport::Handlers Handlers();
  void RetryLater();

  boost::asio::io_context& io_;
  const boost::asio::ip::udp::endpoint listen_;
  Observer& observer_;
  std::unique_ptr<peers::Transport> transport_;
  boost::asio::steady_timer retry_timer_;
  bool wait_logged_ = false;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_MEMBERSHIP_PEER_SOCKET_H_
