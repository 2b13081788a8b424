// SPDX-License-Identifier: Apache-2.0
#include "proxy/downstream/client_listener.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

namespace copperpoint::proxy {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;
using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
// Time that clients get at shutdown to send the rest of partly read requests.
constexpr std::chrono::milliseconds kShutdownReadGrace{1500};
constexpr std::chrono::milliseconds kShutdownPollInterval{10};
// Connections accepted in one turn of the event loop, so that open ones are served in between.
constexpr int kMaxAcceptsPerTurn = 16;

bool WouldBlock(const Error& error) {
  return error == asio::error::would_block || error == asio::error::try_again;
}

}  // namespace

ClientListener::ClientListener(asio::io_context& io, const Config& config, std::size_t max_connections,
                               std::shared_ptr<MemoryBudget> buffer_memory, RequestHandler& handler,
                               int inherited_fd)
    : io_(io),
      config_(config),
      acceptor_(io),
      accept_retry_timer_(io),
      shutdown_timer_(io),
      sessions_(io, config, max_connections, std::move(buffer_memory), handler,
                [this] { ScheduleAccept(); }) {
  Listen(inherited_fd);
  Accept();
}

void ClientListener::Listen(int inherited_fd) {
  if (inherited_fd >= 0) {
    acceptor_.assign(config_.listen.protocol(), inherited_fd);
  } else {
    acceptor_.open(config_.listen.protocol());
    acceptor_.set_option(Tcp::acceptor::reuse_address(true));  // a restart listens at the same address
    acceptor_.set_option(ReusePort(true));  // and a successor may listen at it beside this process
    acceptor_.bind(config_.listen);
    acceptor_.listen();
  }
  acceptor_.non_blocking(true);
}

void ClientListener::Accept() {
  if (closing_ || sessions_.handed_over()) return;
  sessions_.set_capacity_awaited(false);
  Error error;
  for (int accepted = 0; accepted < kMaxAcceptsPerTurn; ++accepted) {
    if (!sessions_.EnsureCapacity()) {
      sessions_.set_capacity_awaited(true);  // the next connections wait in the kernel's accept queue
      if (!queued_since_) queued_since_ = Steady::now();
      return;
    }
    Tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (error) break;
    sessions_.Add(std::move(socket), queued_since_);
  }
  if (!error) return ScheduleAccept();
  // If descriptors have run out, the accept queue stays readable: retrying at once would loop.
  if (!WouldBlock(error)) return RetryAcceptLater();
  queued_since_.reset();  // the queue is empty: later connections are accepted as they arrive
  WaitForConnection();
}

// Accepting may close other sessions, so it is posted instead of run within a session's operation.
void ClientListener::ScheduleAccept() {
  if (std::exchange(accept_scheduled_, true)) return;
  asio::post(io_, [this, alive = std::weak_ptr<int>(alive_)] {
    if (alive.expired()) return;
    accept_scheduled_ = false;
    Accept();
  });
}

void ClientListener::WaitForConnection() {
  if (std::exchange(waiting_for_connection_, true)) return;
  acceptor_.async_wait(Tcp::acceptor::wait_read, [this](const Error& error) {
    if (error == asio::error::operation_aborted) return;
    waiting_for_connection_ = false;
    error ? RetryAcceptLater() : Accept();
  });
}

void ClientListener::RetryAcceptLater() {
  if (!queued_since_) queued_since_ = Steady::now();
  sessions_.Evict();
  accept_retry_timer_.expires_after(kAcceptRetryDelay);
  accept_retry_timer_.async_wait([this](const Error& cancelled) {
    if (!cancelled) Accept();
  });
}

std::optional<int> ClientListener::ReleaseListener() {
  if (!acceptor_.is_open() || closing_ || sessions_.handed_over()) return std::nullopt;
  sessions_.set_handed_over(true);
  waiting_for_connection_ = false;
  Error ignored;
  acceptor_.cancel(ignored);
  accept_retry_timer_.cancel();
  return acceptor_.native_handle();
}

void ClientListener::ResumeAccepting() {
  const bool handed_over = sessions_.handed_over();
  sessions_.set_handed_over(false);
  if (handed_over && acceptor_.is_open()) ScheduleAccept();
}

void ClientListener::ShutDown(Steady::time_point accept_until, Steady::time_point answer_by,
                              std::function<void()> done) {
  if (sessions_.shutting_down()) return;
  sessions_.StartShutdown(answer_by);
  on_shutdown_done_ = std::move(done);
  // No queued connection is lost: the other process accepts from the same queue.
  if (sessions_.handed_over()) CloseListener(/*at_once=*/true);
  shutdown_timer_.expires_at(std::min(accept_until, answer_by));
  shutdown_timer_.async_wait([this](const Error& cancelled) {
    if (!cancelled) ContinueShutdown();
  });
}

// Closing a listening socket resets the connections in its queue: it is closed once the queue is empty, or
// unconditionally with `at_once`.
void ClientListener::CloseListener(bool at_once) {
  if (!acceptor_.is_open()) return;
  Error error;
  while (!sessions_.handed_over() && !error && sessions_.EnsureCapacity()) {
    Tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (!error) sessions_.Add(std::move(socket), queued_since_);
  }
  if (sessions_.handed_over() || error || at_once) acceptor_.close(error);
}

// Repeats until every response is delivered, no request is partly read, and every client has closed its side
// of the connection.
void ClientListener::ContinueShutdown() {
  const auto now = Steady::now();
  if (!std::exchange(closing_, true)) {
    read_grace_end_ = std::min<Steady::time_point>(now + kShutdownReadGrace, sessions_.answer_by());
  }
  const bool read_grace_over = now >= read_grace_end_;
  CloseListener(read_grace_over);
  const bool listening = acceptor_.is_open();
  const bool unfinished = sessions_.CloseForShutdown(now, read_grace_over);
  if (!listening && !unfinished) return on_shutdown_done_();
  shutdown_timer_.expires_after(kShutdownPollInterval);
  shutdown_timer_.async_wait([this](const Error& cancelled) {
    if (!cancelled) ContinueShutdown();
  });
}

}  // namespace copperpoint::proxy
