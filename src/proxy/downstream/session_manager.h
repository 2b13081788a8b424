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
#include "proxy/downstream/request_handler.h"
#include "proxy/memory_budget.h"

namespace copperpoint::proxy {

// Owns every ClientSession until it closes, and the memory budget of request bodies that the sessions share.
class SessionManager {
 public:
  // @param buffer_memory for what the sessions receive and write apart from request bodies.
  // @param on_capacity called, while capacity is awaited, when a connection has closed or become idle or the
  // limit has changed. It must not accept connections within the call.
  SessionManager(boost::asio::io_context& io, const Config& config, std::size_t max_connections,
                 std::shared_ptr<MemoryBudget> buffer_memory, RequestHandler& handler,
                 std::function<void()> on_capacity);
  ~SessionManager();
  SessionManager(const SessionManager&) = delete;
  SessionManager& operator=(const SessionManager&) = delete;

  // Serves an accepted connection. @param queued_since when it may have entered the accept queue; nullopt: it
  // did just now.
  void Add(boost::asio::ip::tcp::socket socket, std::optional<Steady::time_point> queued_since);

  // Evicts a connection if the limit is reached. @return true if another connection may be accepted.
  bool EnsureCapacity();
  // Closes the connection whose loss affects its client least. @return false if none may be closed.
  bool Evict();
  void SetLimit(std::size_t max_connections);
  void set_capacity_awaited(bool awaited) { capacity_awaited_ = awaited; }

  // While draining, idle connections are closed, and the others close after their next response.
  void SetDraining(bool draining);
  // While another process accepts connections, this process's connections close after their next response.
  void set_handed_over(bool handed_over) { handed_over_ = handed_over; }
  // @param answer_by when the response to every request that is read from now on must be written.
  void StartShutdown(Steady::time_point answer_by);
  // Performs one step of the shutdown at `now`: closes idle connections and, with `read_grace_over`, those
  // with partly read requests; from answer_by() on, rejects requests whose streamed body is incomplete.
  // @return true while a response is undelivered or a request is expected.
  bool CloseForShutdown(Steady::time_point now, bool read_grace_over);

  bool shutting_down() const { return shutting_down_; }
  // @return the latest time for the response to a request that is read now; no limit unless shutting down.
  Steady::time_point answer_by() const { return answer_by_; }
  bool handed_over() const { return handed_over_; }
  bool closes_after_response() const { return shutting_down_ || draining_ || handed_over_; }
  std::size_t connection_count() const { return sessions_.size(); }

  // Called by ClientSession.
  void OnStateChanged(ClientSession& session);
  void Remove(ClientSession& session);
  void NotifyCapacity();
  const Config& config() const { return config_; }
  RequestHandler& handler() { return handler_; }
  const std::shared_ptr<MemoryBudget>& body_memory() const { return body_memory_; }
  const std::shared_ptr<MemoryBudget>& buffer_memory() const { return buffer_memory_; }

 private:
  void ScheduleSweep();
  void Sweep();
  template <typename Predicate>
  bool EvictFirst(Predicate predicate);

  const Config& config_;
  std::size_t max_connections_;
  RequestHandler& handler_;
  std::function<void()> on_capacity_;
  std::shared_ptr<MemoryBudget> body_memory_;
  std::shared_ptr<MemoryBudget> buffer_memory_;
  boost::asio::steady_timer sweep_timer_;
  ClientSession::List sessions_;  // ordered by the time of the last state change, oldest first
  bool capacity_awaited_ = false;
  bool shutting_down_ = false, draining_ = false, handed_over_ = false;
  Steady::time_point answer_by_ = Steady::time_point::max();
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_DOWNSTREAM_SESSION_MANAGER_H_
