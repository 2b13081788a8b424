// SPDX-License-Identifier: Apache-2.0
//
// Watches discovery for changes of the list of backends.
#ifndef COPPERPOINT_PROXY_DISCOVERY_DISCOVERY_CLIENT_H_
#define COPPERPOINT_PROXY_DISCOVERY_DISCOVERY_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "proxy/discovery/endpoints.h"

namespace copperpoint::proxy {

class DiscoveryClient {
 public:
  using OnUpdate = std::function<void(const EndpointList&)>;
  using OnFailure = std::function<void()>;
  enum class Reconnect { kAutomatic, kOnRequest };

  struct Options {
    boost::asio::ip::tcp::endpoint address;
    std::uint64_t revision = 0;  // of the list that is known already
    Reconnect reconnect = Reconnect::kAutomatic;
    // A watch that has fallen silent and the dial after it, or two dials that come to nothing, together must
    // stay under the 6 s after which a change counts as told; after a move there are 4 s.
    std::chrono::milliseconds idle_timeout{3000};  // without a whole message: one heartbeat and a half
    std::chrono::milliseconds first_message_timeout{
        4000};  // for the first message of a call: discovery handles calls in turn
    std::chrono::milliseconds connect_timeout{1000};
    std::uint64_t seed = 0;
  };

  DiscoveryClient(boost::asio::io_context& io, Options options, OnUpdate on_update, OnFailure on_failure);
  ~DiscoveryClient();
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  // Begins a watch from the last revision applied, in place of one that is open.
  void Watch();

  std::uint64_t revision() const { return options_.revision; }  // the last one applied

  // From now on discovery is elsewhere. Its revisions need not go on from those known, so that its whole list
  // is taken first; the watch that is open stays until that has come.
  void MoveTo(const boost::asio::ip::tcp::endpoint& address);

 private:
  class Stream;
  friend class Stream;

  void StartMove();
  bool OnMessage(Stream* from, std::string_view message);  // false: it is garbled
  void Garbled(const std::string& why);
  void OnEnd(Stream* from, const std::string& why);
  void RetryLater();

  boost::asio::io_context& io_;
  Options options_;
  OnUpdate on_update_;
  OnFailure on_failure_;
  boost::asio::steady_timer again_;
  std::shared_ptr<Stream> stream_, next_;  // the watch; the one that is to take its place after a move
  bool moving_ = false;
  boost::asio::ip::tcp::endpoint next_address_;
  std::chrono::milliseconds backoff_{0};
  std::uint64_t jitter_;
  bool told_ = false;  // that discovery is away
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_DISCOVERY_DISCOVERY_CLIENT_H_
