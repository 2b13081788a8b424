// SPDX-License-Identifier: Apache-2.0
#include "proxy/admin/admin_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <string_view>
#include <utility>

#include "proxy/admin/admin_router.h"
#include "proxy/admin/fleet_calls.h"

namespace copperpoint::proxy {
namespace {

namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;

constexpr std::uint32_t kMaxHeaderBytes = 4 * 1024;
constexpr std::size_t kMaxBufferBytes = 2 * std::size_t{kMaxHeaderBytes};
constexpr std::size_t kMaxBodyBytes = std::size_t{32} * 1024;
constexpr std::size_t kMaxDiscardedBytes = std::size_t{64} * 1024;  // read after a call, before the close
constexpr unsigned kHttp11 = 11;

}  // namespace

AdminConnection::AdminConnection(Tcp::socket socket, const Timeouts& timeouts, AdminHandler& handler,
                                 Owner& owner)
    : timeouts_(timeouts),
      handler_(handler),
      owner_(&owner),
      socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      buffer_(kMaxBufferBytes) {}

void AdminConnection::Start() {
  SetTimeout(timeouts_.request);
  header_parser_.header_limit(kMaxHeaderBytes);
  http::async_read_header(socket_, buffer_, header_parser_,
                          [self = shared_from_this()](const Error& failed, std::size_t) {
                            if (self->state_ == State::kReading) self->OnHeader(failed);
                          });
}

void AdminConnection::Close() {
  if (std::exchange(state_, State::kClosed) == State::kClosed) return;
  Error ignored;
  socket_.close(ignored);
  timer_.cancel();
  if (owner_) owner_->OnClosed(*this);
}

void AdminConnection::Detach() {
  owner_ = nullptr;
  Close();
}

void AdminConnection::SetTimeout(std::chrono::milliseconds timeout) {
  timer_.expires_after(timeout);
  timer_.async_wait([self = shared_from_this()](const Error& cancelled) {
    if (cancelled || self->timer_.expiry() > std::chrono::steady_clock::now()) return;
    self->OnTimeout();
  });
}

void AdminConnection::OnTimeout() {
  switch (state_) {
    case State::kReading: {
      Error ignored;
      socket_.cancel(ignored);
      return Respond({http::status::request_timeout, "too slow"});
    }
    case State::kResponding:
      return Close();
    case State::kClosed:
      return;
  }
}

void AdminConnection::OnHeader(const Error& failed) {
  if (failed) return OnHeaderError(failed);
  const auto target = header_parser_.get().target();
  if (handler_.IsFleetCall(std::string_view(target.data(), target.size()))) return ReadBody();
  Respond(RouteAdminCall(header_parser_.get(), handler_));
}

void AdminConnection::OnHeaderError(const Error& failed) {
  if (failed == http::error::header_limit || failed == http::error::buffer_overflow)
    return Respond({http::status::request_header_fields_too_large, "head too large"});
  const bool from_parser = failed.category() == http::make_error_code(http::error::bad_version).category();
  if (!from_parser || failed == http::error::end_of_stream || failed == http::error::partial_message)
    return Close();
  Respond({http::status::bad_request, "malformed"});
}

void AdminConnection::ReadBody() {
  body_parser_.emplace(std::move(header_parser_));
  body_parser_->body_limit(kMaxBodyBytes);
  http::async_read(
      socket_, buffer_, *body_parser_, [self = shared_from_this()](const Error& failed, std::size_t) {
        if (self->state_ != State::kReading) return;
        if (failed)
          return self->Respond({http::status::payload_too_large, "the body is too large, or broken"});
        self->Respond(HandleFleetCall(self->body_parser_->get(), self->handler_));
      });
}

void AdminConnection::Respond(const AdminResponse& response) {
  state_ = State::kResponding;
  response_ = {response.status, kHttp11};
  response_.set(http::field::content_type, "text/plain");
  response_.body() = response.text + '\n';
  response_.keep_alive(false);
  response_.prepare_payload();
  SetTimeout(timeouts_.lingering_close);
  http::async_write(socket_, response_, [self = shared_from_this()](const Error& failed, std::size_t) {
    if (self->state_ != State::kClosed) self->OnResponseWritten(failed);
  });
}

// Shuts down only the sending side: closing the socket with bytes of the call unread would send a reset,
// which may overtake the response.
void AdminConnection::OnResponseWritten(const Error& failed) {
  if (failed) return Close();
  Error ignored;
  socket_.shutdown(Tcp::socket::shutdown_send, ignored);
  DiscardUntilClosed();
}

void AdminConnection::DiscardUntilClosed() {
  socket_.async_read_some(boost::asio::buffer(discarded_),
                          [self = shared_from_this()](const Error& failed, std::size_t bytes) {
                            if (self->state_ == State::kClosed) return;
                            self->discarded_bytes_ += bytes;
                            if (failed || self->discarded_bytes_ > kMaxDiscardedBytes) return self->Close();
                            self->DiscardUntilClosed();
                          });
}

}  // namespace copperpoint::proxy
