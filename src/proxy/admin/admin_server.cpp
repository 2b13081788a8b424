// SPDX-License-Identifier: Apache-2.0
#include "proxy/admin/admin_server.h"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <chrono>
#include <utility>

namespace copperpoint::proxy {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

}  // namespace

AdminServer::AdminServer(asio::io_context& io, const Tcp::endpoint& listen, AdminHandler& handler,
                         const AdminConnection::Timeouts& timeouts)
    : handler_(handler), timeouts_(timeouts), acceptor_(io), accept_retry_timer_(io) {
  acceptor_.open(listen.protocol());
  acceptor_.set_option(Tcp::acceptor::reuse_address(true));
  acceptor_.bind(listen);
  acceptor_.listen();
  Accept();
}

AdminServer::~AdminServer() {
  const auto open = std::exchange(connections_, {});
  for (const auto& connection : open) connection->Detach();
}

void AdminServer::Accept() {
  acceptor_.async_accept([this](const Error& failed, Tcp::socket socket) {
    if (failed == asio::error::operation_aborted) return;
    // While descriptors are exhausted the accept queue stays readable: retrying at once would spin.
    if (failed) return RetryAcceptLater();
    Add(std::move(socket));
    Accept();
  });
}

void AdminServer::RetryAcceptLater() {
  accept_retry_timer_.expires_after(kAcceptRetryDelay);
  accept_retry_timer_.async_wait([this](const Error& cancelled) {
    if (!cancelled) Accept();
  });
}

void AdminServer::Add(Tcp::socket socket) {
  if (connections_.size() >= kMaxConnections) EvictOne();
  Error ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  AdminConnection::Owner& owner = *this;
  connections_.push_back(std::make_shared<AdminConnection>(std::move(socket), timeouts_, handler_, owner));
  connections_.back()->Start();
}

// Closes a connection that has its response; if there is none, the oldest, so that clients that send nothing
// do not block the interface.
void AdminServer::EvictOne() {
  auto found = std::find_if(connections_.begin(), connections_.end(),
                            [](const auto& connection) { return connection->responded(); });
  if (found == connections_.end()) found = connections_.begin();
  const auto connection = *found;
  connection->Close();
}

void AdminServer::OnClosed(const AdminConnection& connection) {
  connections_.remove_if([&connection](const auto& open) { return open.get() == &connection; });
}

}  // namespace copperpoint::proxy
