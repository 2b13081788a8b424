// SPDX-License-Identifier: Apache-2.0
//
// The listening socket for clients: accepts connections, hands the socket over to another process and takes
// it back, and stops accepting at shutdown.
#ifndef COPPERPOINT_PROXY_DOWNSTREAM_CLIENT_LISTENER_H_
#define COPPERPOINT_PROXY_DOWNSTREAM_CLIENT_LISTENER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

#include "proxy/clock.h"
#include "proxy/config/config.h"
#include "proxy/downstream/request_handler.h"
#include "proxy/downstream/session_manager.h"

namespace copperpoint::proxy {

// Owns the listening socket and, through its SessionManager, the accepted connections.
class ClientListener {
 public:
  // Starts listening, on the socket `inherited_fd` if that is not negative, otherwise at the address in
  // `config`. Throws boost::system::system_error on failure. `config` and `handler` must outlive this object.
  ClientListener(boost::asio::io_context& io, const Config& config, std::size_t max_connections,
                 std::shared_ptr<MemoryBudget> buffer_memory, RequestHandler& handler, int inherited_fd = -1);
  ClientListener(const ClientListener&) = delete;
  ClientListener& operator=(const ClientListener&) = delete;

  // Graceful shutdown. Each connection closes after its next response. `done` is called when all responses
  // are delivered and the listening socket is closed. @param accept_until when new connections are no longer
  // accepted. @param answer_by when the response to every request that is read from now on must be written;
  // a request that is not read completely by then is not served.
  void ShutDown(Steady::time_point accept_until, Steady::time_point answer_by, std::function<void()> done);

  // While draining, idle connections are closed, and the others close after their next response; new
  // connections are still accepted.
  void SetDraining(bool draining) { sessions_.SetDraining(draining); }

  // Stops accepting, because another process accepts from the same queue; each open connection closes after
  // its next response. @return the listening socket, which this object still owns; nullopt if it is closed,
  // shutting down or already released.
  std::optional<int> ReleaseListener();
  // Accepts connections again, after the other process has ended.
  void ResumeAccepting();

  void SetConnectionLimit(std::size_t max_connections) { sessions_.SetLimit(max_connections); }

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  std::size_t connection_count() const { return sessions_.connection_count(); }

 private:
  void Listen(int inherited_fd);
  void Accept();
  void ScheduleAccept();
  void WaitForConnection();
  void RetryAcceptLater();
  void ContinueShutdown();
  void CloseListener(bool at_once);

  boost::asio::io_context& io_;
  const Config& config_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_, shutdown_timer_;
  bool waiting_for_connection_ = false, accept_scheduled_ = false;
  // When connections may have begun to wait in the accept queue; reset once the queue is empty.
  std::optional<Steady::time_point> queued_since_;
  bool closing_ = false;  // the grace period of the shutdown is over
  Steady::time_point read_grace_end_{};
  std::function<void()> on_shutdown_done_;
  std::shared_ptr<int> alive_ = std::make_shared<int>();
  SessionManager sessions_;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_DOWNSTREAM_CLIENT_LISTENER_H_
