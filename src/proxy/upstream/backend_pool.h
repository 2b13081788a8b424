// SPDX-License-Identifier: Apache-2.0
//
// Attempts at backends and the pool of connections that carries them. It decides nothing: each SendRequest is
// one attempt on one connection and ends in exactly one result.
#ifndef COPPERPOINT_PROXY_UPSTREAM_BACKEND_POOL_H_
#define COPPERPOINT_PROXY_UPSTREAM_BACKEND_POOL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "copperpoint/balancer.h"
#include "proxy/http/framing.h"

namespace copperpoint::proxy {

struct AttemptResult {
  AttemptOutcome outcome = AttemptOutcome::kUnknown;
  HttpResponse response;  // of kOk, whole but for `body_stream`; of kUnknown, where the backend turned the
                          // request away as faulty
  std::shared_ptr<BodySource> body_stream;  // of a large answer; whoever lets it go lets go of the connection
  std::optional<std::uint64_t> body_length;
  std::optional<Steady::time_point> request_written_at;  // when a large request's last byte was
  bool local_failure = false;  // of kNotSent: it could not begin for want of descriptors or places here
};
using AttemptDone = std::function<void(AttemptResult)>;

class BackendPool {
 public:
  struct Limits {
    Duration connect_timeout{250};
    Duration backend_idle_timeout{15000};
    std::size_t max_connections = 300;  // over all backends
    Timeouts timeouts{};
  };

  BackendPool(boost::asio::io_context& io, Limits limits);
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  // Where a backend listens now, and since when it runs. Idle connections to what has moved or restarted go.
  void SetEndpoint(BackendId server, const boost::asio::ip::tcp::endpoint& address, double up_since);
  // Nothing new will go there: idle connections go, and so do those in use when their answers are in.
  // Attempts whose last byte is not out end as moot: they never ran.
  void DrainBackend(BackendId server);
  // All but those that a complete list names.
  void DrainAllExcept(const std::unordered_set<BackendId>& named);
  void CloseIdleConnections(BackendId server);

  // Drops what is known of a backend that is retired.
  void RemoveBackend(BackendId server);

  // One attempt with the request as it came, but for how long its answer will be waited for. `done` is called
  // once, never from within this call, and not after the destructor.
  // `upload` is the rest of a large body, after whose last byte `timeout` begins.
  struct AttemptHandle {
    std::weak_ptr<void> connection;
    std::uint64_t use = 0;
  };
  AttemptHandle SendRequest(BackendId server, std::shared_ptr<const HttpRequest> request, Duration timeout,
                            AttemptDone done, std::shared_ptr<RequestBodyStream> upload = nullptr);
  // Ends that attempt as moot, soon, unless its last byte is out.
  void CancelUnsent(const AttemptHandle& handle);

  void SetConnectionLimit(std::size_t connections) { limits_.max_connections = connections; }
  void SetTimeouts(const Timeouts& timeouts) { limits_.timeouts = timeouts; }
  std::size_t connection_count() const { return open_; }
  std::size_t connections_opened() const { return connections_opened_; }  // since the start
  std::size_t backend_count() const { return backends_.size(); }

 private:
  class Connection;
  friend class Connection;
  struct Backend {
    boost::asio::ip::tcp::endpoint address;
    double up_since = 0;
    std::uint64_t generation = 0;  // connections of an older one are not kept
    bool usable = false;
    std::vector<std::shared_ptr<Connection>> idle;  // the most recently used last
    std::size_t live = 0;                           // connections, in use and idle
  };

  std::shared_ptr<Connection> TakeIdle(Backend& backend);
  bool CloseOldestIdle();
  void Keep(const std::shared_ptr<Connection>& connection);
  void Drop(const Connection* connection);

  boost::asio::io_context& io_;
  Limits limits_;
  std::unordered_map<BackendId, Backend> backends_;
  std::unordered_map<const Connection*, std::weak_ptr<Connection>> live_;
  std::size_t open_ = 0, connections_opened_ = 0;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_UPSTREAM_BACKEND_POOL_H_
