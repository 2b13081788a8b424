// SPDX-License-Identifier: Apache-2.0
//
// The set of client connections: its limit, eviction when the limit is reached, time limits, draining and
// shutdown.
#ifndef COPPERPOINT_PROXY_DOWNSTREAM_SESSION_MANAGER_H_
#define COPPERPOINT_PROXY_DOWNSTREAM_SESSION_MANAGER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

#include "proxy/clock.h"
#include "proxy/config/config.h"
#include "proxy/downstream/client_session.h"
#include "proxy/downstream/memory_budget.h"
#include "proxy/downstream/request_handler.h"

namespace copperpoint::proxy {

// Owns every ClientSession until it closes, and what they share.
class SessionManager {
 public:
  // `on_capacity` is called when a connection has closed or become idle, or the limit has changed, while
  // capacity is awaited. It must not accept connections from within the call.
  SessionManager(boost::asio::io_context& io, const Config& config, std::size_t max_connections,
                 RequestHandler& handler, std::function<void()> on_capacity);
  ~SessionManager();
  SessionManager(const SessionManager&) = delete;
  SessionManager& operator=(const SessionManager&) = delete;

  // Serves an accepted connection. `queued_since`: when it may have entered the accept queue, if not just
  // now.
  void Add(boost::asio::ip::tcp::socket socket, std::optional<Steady::time_point> queued_since);

  // True if another connection may be accepted, after evicting one if need be.
  bool EnsureCapacity();
  // Closes the connection that is least likely to be missed; false if there is none to close.
  bool Evict();
  void SetLimit(std::size_t max_connections);
  void set_capacity_awaited(bool awaited) { capacity_awaited_ = awaited; }

  // While draining, idle connections are closed, and the others after their next response.
  void SetDraining(bool draining);
  // While another process accepts connections, those of this one close after their next response.
  void set_handed_over(bool handed_over) { handed_over_ = handed_over; }
  void StartShutdown() { shutting_down_ = true; }
  // One step of the shutdown at `now`: closes what is idle, and with `read_grace_over` partly read requests
  // too. True while a response is not delivered or a request is expected.
  bool CloseForShutdown(Steady::time_point now, bool read_grace_over);

  bool shutting_down() const { return shutting_down_; }
  bool handed_over() const { return handed_over_; }
  bool closes_after_response() const { return shutting_down_ || draining_ || handed_over_; }
  std::size_t connection_count() const { return sessions_.size(); }

  // For sessions.
  void OnStateChanged(ClientSession& session);
  void Remove(ClientSession& session);
  void NotifyCapacity();
  const Config& config() const { return config_; }
  RequestHandler& handler() { return handler_; }
  MemoryBudget& body_memory() { return body_memory_; }

 private:
  void ScheduleSweep();
  void Sweep();
  template <typename Predicate>
  bool EvictFirst(Predicate predicate);

  const Config& config_;
  std::size_t max_connections_;
  RequestHandler& handler_;
  std::function<void()> on_capacity_;
  MemoryBudget body_memory_;
  boost::asio::steady_timer sweep_timer_;
  ClientSession::List sessions_;  // in the order of their last change of state
  bool capacity_awaited_ = false;
  bool shutting_down_ = false, draining_ = false, handed_over_ = false;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_DOWNSTREAM_SESSION_MANAGER_H_
