// SPDX-License-Identifier: Apache-2.0
//
// The sockets between proxies: datagrams over UDP, and exchanges of a request and a reply over TCP, at one
// address. The transport does not read the frames that it carries.
#ifndef COPPERPOINT_PEERS_TRANSPORT_H_
#define COPPERPOINT_PEERS_TRANSPORT_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace copperpoint::peers {

// Owns both sockets and the open exchanges. Addresses are texts of the form "ADDRESS:PORT".
class Transport {
 public:
  // The functions that are called from the event loop.
  struct Handlers {
    std::function<void(const std::string& from, std::string_view bytes)> on_datagram;
    std::function<std::string(std::string_view frame)> on_request;  // returns the reply; empty for no reply
    std::function<void(std::string_view frame)> on_response;
  };
  struct Limits {
    std::size_t max_exchanges = 16;                    // open at the same time, in both directions together
    std::chrono::milliseconds exchange_timeout{3000};  // from the start of an exchange to its end
    int max_datagrams_per_wakeup = 64;                 // read before other work of the event loop
  };
  // Counts since the start of the transport.
  struct Counters {
    std::uint64_t unsent = 0;    // datagrams that the socket did not accept, or whose address is not valid
    std::uint64_t rejected = 0;  // exchanges opened by others that were rejected by max_exchanges
    std::uint64_t failed = 0;    // exchanges opened here that had no reply, or could not be opened
  };

  // Binds both sockets; with port 0 the system chooses the port. Throws boost::system::system_error if
  // binding fails.
  Transport(boost::asio::io_context& io, const boost::asio::ip::udp::endpoint& bind, Handlers handlers,
            Limits limits);
  Transport(boost::asio::io_context& io, const boost::asio::ip::udp::endpoint& bind, Handlers handlers)
      : Transport(io, bind, std::move(handlers), Limits()) {}
  ~Transport();
  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;

  // Send a datagram, and open an exchange. Neither blocks: a frame that cannot be sent now is lost, as it
  // could be in a network.
  void Send(const std::string& to, std::string_view bytes);
  void Exchange(const std::string& to, std::string frame);

  boost::asio::ip::udp::endpoint address() const { return udp_.local_endpoint(); }
  const Counters& counters() const { return counters_; }

 private:
  class Session;
  friend class Session;

  void Bind(const boost::asio::ip::udp::endpoint& bind);
  void Receive();
  void ReceiveAll();
  void Accept();

  boost::asio::io_context& io_;
  Handlers handlers_;
  Limits limits_;
  boost::asio::ip::udp::socket udp_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_;
  boost::asio::ip::udp::endpoint from_;  // the sender of the datagram that is being received
  std::array<char, 2048> buffer_;
  std::unordered_set<std::shared_ptr<Session>> sessions_;
  Counters counters_;
};

// Parses a numeric address, "a.b.c.d:port" or "[v6]:port". Returns false if the text is neither.
bool ParseAddress(std::string_view text, boost::asio::ip::udp::endpoint* address);
std::string FormatAddress(const boost::asio::ip::udp::endpoint& address);

}  // namespace copperpoint::peers

#endif  // COPPERPOINT_PEERS_TRANSPORT_H_
