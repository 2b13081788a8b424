// SPDX-License-Identifier: Apache-2.0
//
// Keeps the proxy's endpoint list current: holds one watch of discovery open, reconnects with backoff, and
// migrates to another discovery address without losing the watch it has. Discovery serves the calls of all
// proxies one by one, so that a migration makes no more calls than it needs.
#ifndef COPPERPOINT_PROXY_DISCOVERY_DISCOVERY_CLIENT_H_
#define COPPERPOINT_PROXY_DISCOVERY_DISCOVERY_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "proxy/clock.h"
#include "proxy/discovery/endpoint_stream.h"
#include "proxy/discovery/endpoints.h"
#include "proxy/discovery/reconnect_backoff.h"

namespace copperpoint::proxy {

// Owns its streams and the revision of the last update applied. Single-threaded: used from the event loop
// that it is given, which must not run its handlers after the client is destroyed.
class DiscoveryClient : private EndpointStream::Observer {
 public:
  using OnUpdate = std::function<void(const EndpointList&)>;
  using OnFailure = std::function<void()>;
  enum class Reconnect {
    kAutomatic,  // the client reconnects by itself after a backoff
    // The client reconnects on the next call of Watch; OnFailure reports the failure. Not while a reload
    // bounds the time: see Reload.
    kOnRequest,
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
    std::chrono::milliseconds reload_bound{4000};  // from a reload until the list has to be current
    // Replaces first_message_timeout within reload_bound, so that another call fits into it.
    std::chrono::milliseconds first_message_timeout_after_reload{3000};
    std::uint64_t seed = 0;  // of the backoff's jitter
  };

  DiscoveryClient(boost::asio::io_context& io, Options options, OnUpdate on_update, OnFailure on_failure);
  ~DiscoveryClient();
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  // Opens a watch from the last revision applied; it replaces a watch that is open. Without effect during a
  // migration, which ends with a watch.
  void Watch();

  // Returns the revision of the last update applied.
  std::uint64_t revision() const override { return options_.revision; }

  // To be called for a list that has been obtained from elsewhere and applied. A later watch continues from
  // its revision, and an incremental update older than it is not applied. The first response to a call that
  // is under way may be older, too, or continue from a revision that is no longer known; the watch is then
  // opened again. A snapshot applies nevertheless, whatever its revision, if its call was made after
  // `received_at`, since discovery may count anew.
  // @param received_at when the list was received from discovery.
  void AdoptList(std::uint64_t revision, Steady::time_point received_at);

  // Handles a reload of the configuration, from which on the list has to be current within
  // Options::reload_bound: until then the client retries by itself also where it otherwise reconnects on
  // request. If `address` is another one, migrates to it; the open watch stays until a list has arrived from
  // there. The first call there is a watch from the known revision, which one response makes current. Where
  // that response is no snapshot, revisions there need not continue the known ones: with a lower revision a
  // snapshot is fetched at once, otherwise one confirms the list after half of Options::reload_bound.
  void Reload(const boost::asio::ip::tcp::endpoint& address);

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
  // Returns whether the replacement has become the watch, so that `update` applies.
  bool AdoptReplacement(const EndpointList& update);
  void ArmConfirmation();
  void OpenConfirmation();
  void RetryConfirmation();
  void EndConfirmation();
  bool OnConfirmation(const EndpointList& update);
  void AdoptConfirmation();
  void Apply(const EndpointList& update);
  void ArmBackoff();
  // Returns whether the response may be older than a list that was adopted while it was awaited.
  bool MayPredateAdoptedList(const EndpointStream& stream, const EndpointList& response);
  bool reload_bounds_time() const { return Steady::now() < current_by_; }
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
  // When the list was received that was adopted while the watch awaits its first response.
  std::optional<Steady::time_point> adopted_during_call_;
  std::shared_ptr<EndpointStream> replacement_;         // while migrating
  boost::asio::ip::tcp::endpoint replacement_address_;  // while migrating
  EndpointStream::Request replacement_request_ = EndpointStream::Request::kWatch;
  std::shared_ptr<EndpointStream> confirmation_;  // fetches the snapshot that confirms the list
  boost::asio::steady_timer confirmation_timer_;
  ReconnectBackoff backoff_;
  ReconnectBackoff confirmation_backoff_;
  Steady::time_point current_by_{};  // the latest reload plus Options::reload_bound
  bool outage_logged_ = false;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_DISCOVERY_DISCOVERY_CLIENT_H_
