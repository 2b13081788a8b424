// SPDX-License-Identifier: Apache-2.0
//
// The pool of connections to backends. It does not select backends or retry: each SendRequest is one attempt
// on one connection and yields exactly one result.
#ifndef COPPERPOINT_PROXY_UPSTREAM_BACKEND_POOL_H_
#define COPPERPOINT_PROXY_UPSTREAM_BACKEND_POOL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "copperpoint/balancer.h"
#include "proxy/config/config.h"
#include "proxy/memory_budget.h"
#include "proxy/upstream/attempt.h"

namespace copperpoint::proxy {

class BackendConnection;

// Owns the idle connections and tracks all open connections of each backend.
class BackendPool {
 public:
  struct Limits {
    Duration connect_timeout{250};
    Duration backend_idle_timeout{15000};  // after which a backend closes an idle connection
    std::size_t max_connections = 300;     // to all backends together
    Timeouts timeouts{};
    // Shared with the clients' connections: responses that are being received, and their chunks in transit.
    std::shared_ptr<MemoryBudget> buffer_memory = std::make_shared<MemoryBudget>(MemoryBudget::kUnlimited);
  };

  BackendPool(boost::asio::io_context& io, Limits limits);
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  // Sets a backend's address and start time (Unix time in milliseconds). If either has changed, the backend
  // is drained first.
  void SetEndpoint(BackendId backend, const boost::asio::ip::tcp::endpoint& address, double up_since_unix_ms);
  // Stops using the backend: closes its idle connections at once and those in use after their response.
  // Attempts whose request is not written completely end as kNotSent.
  void DrainBackend(BackendId backend);
  void DrainAllExcept(const std::unordered_set<BackendId>& backends);
  void CloseIdleConnections(BackendId backend);
  // Deletes the record of a drained backend; no effect while the backend has connections.
  void RemoveBackend(BackendId backend);

  // Identifies an attempt in CancelUnsent.
  struct AttemptHandle {
    std::weak_ptr<BackendConnection> connection;
    std::uint64_t attempt_id = 0;
  };
  // Starts an attempt: sends the request as received, with an updated deadline field. `upload` is the rest of
  // a large body. `on_completed` is called once, never within this call and not after the pool's destruction.
  AttemptHandle SendRequest(BackendId backend, std::shared_ptr<const HttpRequest> request,
                            const AttemptLimits& limits, AttemptCallback on_completed,
                            std::shared_ptr<RequestBodyStream> upload = nullptr);
  // Ends the attempt as kNotSent, from the event loop, unless its request is completely written.
  void CancelUnsent(const AttemptHandle& handle);

  void SetConnectionLimit(std::size_t connections) { limits_.max_connections = connections; }
  // Limits attempts whose request body is still being streamed: a timeout that starts with its last byte ends
  // at `answer_by` at the latest, as this process is killed soon after.
  void SetAnswerBy(Steady::time_point answer_by) { answer_by_ = answer_by; }
  void SetTimeouts(const Timeouts& timeouts) { limits_.timeouts = timeouts; }
  std::size_t connection_count() const { return open_connections_; }
  std::size_t connections_opened() const { return connections_opened_; }  // in total
  std::size_t backend_count() const { return backends_.size(); }

  // Called by BackendConnection.
  boost::asio::io_context& io() { return io_; }
  const Timeouts& timeouts() const { return limits_.timeouts; }
  Steady::time_point answer_by() const { return answer_by_; }
  const std::shared_ptr<MemoryBudget>& buffer_memory() const { return limits_.buffer_memory; }
  // Keeps the connection for reuse, or closes it if its backend is drained.
  void ReturnToIdle(const std::shared_ptr<BackendConnection>& connection);
  void OnConnectionClosed(const BackendConnection& connection);

 private:
  struct Backend {
    boost::asio::ip::tcp::endpoint address;
    double up_since_unix_ms = 0;
    std::uint64_t generation = 0;  // connections of an earlier generation are not reused
    bool usable = false;           // not drained
    std::vector<std::shared_ptr<BackendConnection>> idle;  // in order of use, the most recent last
    std::size_t open_connections = 0;                      // in use and idle
  };

  std::shared_ptr<BackendConnection> TakeIdle(Backend& backend);
  std::shared_ptr<BackendConnection> AddConnection(BackendId id, Backend& backend);
  bool CloseOldestIdle();

  boost::asio::io_context& io_;
  Limits limits_;
  Steady::time_point answer_by_ = Steady::time_point::max();
  std::unordered_map<BackendId, Backend> backends_;
  std::unordered_map<const BackendConnection*, std::weak_ptr<BackendConnection>> connections_;
  std::size_t open_connections_ = 0, connections_opened_ = 0;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_UPSTREAM_BACKEND_POOL_H_
