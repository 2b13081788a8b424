// SPDX-License-Identifier: Apache-2.0
//
// The sockets by which this proxy talks to the other members: opens them, and passes frames both ways.
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

// Owns the transport. Closed until Open has bound the address.
class PeerSocket {
 public:
  class Observer {
   public:
    virtual ~Observer() = default;
    // The address is bound: from now on frames are sent and received.
    virtual void OnOpen() = 0;
    virtual void OnDatagram(const std::string& from, std::string_view frame) = 0;
    // Another member's exchange. The result is the frame to reply with; empty: none.
    virtual std::string OnExchange(std::string_view frame) = 0;
    // The reply to an exchange that this member has started.
    virtual void OnReply(std::string_view frame) = 0;
  };

  // Descriptors that it holds at most: both sockets, and exchanges.
  static constexpr int kMaxDescriptors = 18;

  // `observer` must outlive it.
  PeerSocket(boost::asio::io_context& io, const boost::asio::ip::udp::endpoint& listen, Observer& observer);

  // Binds the address; while another process has it, as in an upgrade, retries until it is free. Calls
  // OnOpen, from within if the address is free now. Throws boost::system::system_error on any other failure.
  void Open();
  // Nothing is sent or received any more.
  void Close();
  bool is_open() const { return transport_ != nullptr; }

  // Sends the datagrams and starts the exchanges; nothing while closed.
  void Send(const membership::Output& output);

  // Null while closed.
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
