// SPDX-License-Identifier: Apache-2.0
//
// The network between the processes of a rig. Each member binds one address and advertises another, which
// belongs to the relay. Every datagram and connection between two members therefore passes through the relay,
// which knows sender and receiver and applies the active faults of their link.
#ifndef COPPERPOINT_FAULT_TESTING_PROCESSES_RELAY_H_
#define COPPERPOINT_FAULT_TESTING_PROCESSES_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "fault_testing/links.h"

namespace copperpoint::fault_testing {

class Relay {
 public:
  using Udp = boost::asio::ip::udp;

  // Both address lists are by member; `now` returns the seconds since the start of the run. Throws
  // boost::system::system_error if an address cannot be bound.
  Relay(boost::asio::io_context& io, Links& links, std::vector<Udp::endpoint> bind_addresses,
        const std::vector<Udp::endpoint>& advertised_addresses, std::function<double()> now);
  ~Relay();

  std::uint64_t forwarded() const { return forwarded_; }
  std::uint64_t dropped() const { return dropped_; }

 private:
  class Stream;
  friend class Stream;
  struct MemberPort {  // listens at the advertised address of one member
    explicit MemberPort(boost::asio::io_context& io) : udp(io), tcp(io) {}
    Udp::socket udp;
    boost::asio::ip::tcp::acceptor tcp;
    Udp::endpoint from;
    std::string buffer;
  };

  void Receive(int to);
  void OnDatagram(int to, std::size_t size);
  void Send(int from, int to, std::string bytes);
  void Accept(int to);
  int MemberAt(const boost::asio::ip::address& address) const;

  boost::asio::io_context& io_;
  Links& links_;
  std::function<double()> now_;
  std::vector<Udp::endpoint> bind_addresses_;
  std::vector<std::unique_ptr<MemberPort>> ports_;
  std::unordered_set<std::shared_ptr<Stream>> streams_;
  std::uint64_t forwarded_ = 0, dropped_ = 0;
};

}  // namespace copperpoint::fault_testing

#endif  // COPPERPOINT_FAULT_TESTING_PROCESSES_RELAY_H_
