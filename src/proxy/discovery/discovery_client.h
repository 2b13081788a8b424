// SPDX-License-Identifier: Apache-2.0
//
// Keeps the proxy's endpoint list current: holds one watch of discovery open, reconnects with backoff, and
// migrates to another discovery address without losing the watch it has.
#ifndef COPPERPOINT_PROXY_DISCOVERY_DISCOVERY_CLIENT_H_
#define COPPERPOINT_PROXY_DISCOVERY_DISCOVERY_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "proxy/discovery/endpoint_stream.h"
#include "proxy/discovery/endpoints.h"

namespace copperpoint::proxy {

// Owns its streams and the revision of the last update applied. Single-threaded: used from the event loop
// that it is given, which must not run its handlers after the client is destroyed.
class DiscoveryClient : private EndpointStream::Observer {
 public:
  using OnUpdate = std::function<void(const EndpointList&)>;
  using OnFailure = std::function<void()>;
  enum class Reconnect {
    kAutomatic,  // the client reconnects by itself after a backoff
    kOnRequest,  // the client reconnects on the next call of Watch; OnFailure reports the failure
  };

  struct Options {
    boost::asio::ip::tcp::endpoint address;
    std::uint64_t revision = 0;  // of the endpoint list that is already known
    Reconnect reconnect = Reconnect::kAutomatic;
    // A change has to be known within 6 s, which an idle timeout plus a connect timeout must not reach, and
    // within 4 s after a migration, which two connect timeouts in a row must not reach.
    std::chrono::milliseconds idle_timeout{3000};           // one and a half heartbeat intervals
    std::chrono::milliseconds first_message_timeout{4000};  // longer, as discovery serves calls one by one
    std::chrono::milliseconds connect_timeout{1000};
    std::uint64_t seed = 0;  // of the backoff's jitter
  };

  DiscoveryClient(boost::asio::io_context& io, Options options, OnUpdate on_update, OnFailure on_failure);
  ~DiscoveryClient();
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  // Opens a watch from the last revision applied; it replaces a watch that is open.
  void Watch();

  // Returns the revision of the last update applied.
  std::uint64_t revision() const override { return options_.revision; }

  // Migrates to another address. Revisions there need not continue the known ones, so a snapshot is fetched
  // first; the open watch stays until the snapshot has arrived.
  void MoveTo(const boost::asio::ip::tcp::endpoint& address);

 private:
  enum class State {
    kIdle,              // no watch, no timer
    kWatching,          // the watch is open or connecting
    kBackoff,           // waiting to reconnect the watch
    kMigrating,         // the replacement is open or connecting; the old watch may still deliver
    kMigrationBackoff,  // waiting to reconnect the replacement
  };

  void Enter(State state);
  bool migrating() const { return state_ == State::kMigrating || state_ == State::kMigrationBackoff; }
  void OpenWatch();
  void OpenReplacement();
  void AdoptReplacement();
  void ArmBackoff();
  std::shared_ptr<EndpointStream> NewStream(const boost::asio::ip::tcp::endpoint& address,
                                            EndpointStream::Request request);

  bool OnMessage(EndpointStream& stream, std::string_view message) override;
  void OnFramingError() override;
  void OnStreamEnded(EndpointStream& stream, const StreamFailure& failure) override;

  boost::asio::io_context& io_;
  Options options_;
  OnUpdate on_update_;
  OnFailure on_failure_;
  State state_ = State::kIdle;
  boost::asio::steady_timer backoff_timer_;
  std::shared_ptr<EndpointStream> watch_;
  std::shared_ptr<EndpointStream> replacement_;         // while migrating
  boost::asio::ip::tcp::endpoint replacement_address_;  // while migrating
  std::chrono::milliseconds backoff_{0};
  std::uint64_t jitter_state_;
  bool outage_logged_ = false;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_DISCOVERY_DISCOVERY_CLIENT_H_
