// SPDX-License-Identifier: Apache-2.0
//
// The listening socket of the clients: accepts connections, hands the socket over to another process and
// takes it back, and ends accepting at the shutdown.
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

// Owns the listening socket and, by its SessionManager, the accepted connections.
class ClientListener {
 public:
  // Listens at once, on the socket `inherited_fd` if that is not negative, at the address of `config`
  // otherwise. Throws boost::system::system_error if it cannot. `config` and `handler` must outlive it.
  ClientListener(boost::asio::io_context& io, const Config& config, std::size_t max_connections,
                 RequestHandler& handler, int inherited_fd = -1);
  ClientListener(const ClientListener&) = delete;
  ClientListener& operator=(const ClientListener&) = delete;

  // Graceful shutdown. From now on each connection closes after its response; new ones are still served.
  // After `grace`, nothing is accepted any more, and `done` is called when no connection is left.
  void ShutDown(Duration grace, std::function<void()> done);

  // While draining, idle connections are closed, and the others after their next response; new ones are
  // served all the same.
  void SetDraining(bool draining) { sessions_.SetDraining(draining); }

  // Stops accepting, as another process accepts from the same queue; each open connection closes after its
  // next response. The result is the listening socket, which remains this object's; nothing if it is closed,
  // shut down or released already.
  std::optional<int> ReleaseListener();
  // The other process has ended: accepts again.
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
  // Since when connections may wait in the accept queue; until it has been seen empty.
  std::optional<Steady::time_point> queued_since_;
  bool closing_ = false;  // the grace of the shutdown is over
  Steady::time_point read_grace_end_{};
  std::function<void()> on_shutdown_done_;
  std::shared_ptr<int> alive_ = std::make_shared<int>();
  SessionManager sessions_;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_DOWNSTREAM_CLIENT_LISTENER_H_
