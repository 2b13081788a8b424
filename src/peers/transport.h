// SPDX-License-Identifier: Apache-2.0
//
// Bytes between proxies: datagrams over UDP, and exchanges (one frame there, one back) over TCP, at one
// address. It knows nothing of what the bytes say.
#ifndef COPPERPOINT_PEERS_TRANSPORT_H_
#define COPPERPOINT_PEERS_TRANSPORT_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>

namespace copperpoint::peers {

class Transport {
 public:
  struct Handlers {
    std::function<void(const std::string& from, std::string_view bytes)> on_datagram;
    std::function<std::string(std::string_view frame)> on_request;  // its answer; empty: none
    std::function<void(std::string_view frame)> on_response;
  };
  struct Limits {
    std::size_t max_exchanges = 16;                    // at a time, begun here and come in together
    std::chrono::milliseconds exchange_timeout{3000};  // for one, from its connection to its end
    int max_datagrams_per_wakeup = 64;                 // before whatever else waits gets its turn
  };
  struct Counters {
    std::uint64_t unsent = 0;    // datagrams that the socket did not take, or with no address
    std::uint64_t rejected = 0;  // exchanges over the limit
    std::uint64_t failed = 0;    // exchanges begun here that came to nothing
  };

  // Binds both sockets; the port may be 0. Throws boost::system::system_error if it cannot.
  Transport(boost::asio::io_context& io, const boost::asio::ip::udp::endpoint& bind, Handlers handlers,
            Limits limits);
  Transport(boost::asio::io_context& io, const boost::asio::ip::udp::endpoint& bind, Handlers handlers)
      : Transport(io, bind, std::move(handlers), Limits()) {}
  ~Transport();
  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;

  // Neither waits: what cannot be sent now is lost, as on a network.
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
  boost::asio::ip::udp::endpoint from_;
  std::array<char, 2048> buffer_;
  std::unordered_set<std::shared_ptr<Session>> open_;
  Counters counters_;
};

// "a.b.c.d:port" or "[v6]:port", with numbers alone. False if it is none.
bool ParseAddress(std::string_view text, boost::asio::ip::udp::endpoint* address);
std::string FormatAddress(const boost::asio::ip::udp::endpoint& address);

}  // namespace copperpoint::peers

#endif  // COPPERPOINT_PEERS_TRANSPORT_H_
