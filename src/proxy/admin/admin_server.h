// SPDX-License-Identifier: Apache-2.0
//
// The admin interface: HTTP/1.1, one call per connection, answered by AdminHandler.
#ifndef COPPERPOINT_PROXY_ADMIN_ADMIN_SERVER_H_
#define COPPERPOINT_PROXY_ADMIN_ADMIN_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <list>
#include <memory>

#include "proxy/admin/admin_connection.h"
#include "proxy/admin/admin_handler.h"

namespace copperpoint::proxy {

// Owns the listening socket and the connections. A new connection beyond the limit replaces another one.
class AdminServer : private AdminConnection::Owner {
 public:
  static constexpr std::size_t kMaxConnections = 16;

  // Starts to listen; throws boost::system::system_error if it cannot. `handler` must outlive the server.
  AdminServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen,
              AdminHandler& handler, const AdminConnection::Timeouts& timeouts = {});
  ~AdminServer() override;
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  std::size_t connections() const { return connections_.size(); }

 private:
  void Accept();
  void RetryAcceptLater();
  void Add(boost::asio::ip::tcp::socket socket);
  void EvictOne();
  void OnClosed(const AdminConnection& connection) override;

  AdminHandler& handler_;
  const AdminConnection::Timeouts timeouts_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_;
  std::list<std::shared_ptr<AdminConnection>> connections_;  // the oldest first
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_ADMIN_ADMIN_SERVER_H_
