// SPDX-License-Identifier: Apache-2.0
#include "proxy/downstream/client_session.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <cassert>
#include <cstdio>
#include <utility>

#include "proxy/downstream/session_manager.h"

namespace copperpoint::proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

constexpr const char* kTextPlain = "text/plain";
constexpr std::size_t kImmediateCloseBufferBytes = 1024;
constexpr int kMaxImmediateCloseReads = 64;
// Bytes that a lingering close discards before it closes the connection.
constexpr std::size_t kMaxDiscardedBytes = 4 * kMaxBufferedBody;

HttpResponse TextResponse(http::status status, std::string text) {
  HttpResponse response{status, 11};
  response.set(http::field::content_type, kTextPlain);
  response.body() = std::move(text);
  return response;
}

}  // namespace

ClientSession::ClientSession(SessionManager& manager, Tcp::socket socket)
    : manager_(&manager),
      socket_(std::move(socket)),
      reader_(*this, socket_, manager.buffer_memory()),
      writer_(*this, socket_, manager.buffer_memory()) {}

void ClientSession::Start(std::optional<Steady::time_point> queued_since) {
  Error ignored;
  socket_.set_option(Tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  EnterState(SessionState::kIdle, timeouts().request_head);
  queued_since_ = queued_since;
  if (queued_since && !reader_.ReadAhead(*queued_since, /*may_discard=*/false)) return Close();
  AwaitRequest(timeouts().request_head);
}

bool ClientSession::IsIdle() const {
  Error error;
  return state_ == SessionState::kIdle && !reader_.has_buffered_bytes() && socket_.available(error) == 0;
}

bool ClientSession::HasPartialHeaderSince(Steady::time_point at) const {
  return IsReadingRequest() && state_since_ <= at && !reader_.header_complete();
}

// The time limit of a state counts from entering it and is not restarted by each byte received.
void ClientSession::EnterState(SessionState state, std::optional<Steady::duration> time_limit) {
  assert(IsValidTransition(state_, state));
  state_ = state;
  state_since_ = Steady::now();
  deadline_ = time_limit ? state_since_ + *time_limit : Steady::time_point::max();
  manager_->OnStateChanged(*this);
}

void ClientSession::OnDeadlineCheck(Steady::time_point now) {
  if (now < deadline_) {
    if (IsReadingStreamedBody()) reader_.streamed_body()->ReadAhead();  // memory may have become free
    return;
  }
  switch (state_) {
    case SessionState::kIdle:
      return CloseLingering();
    case SessionState::kReadingRequest:
      CancelReads();
      return OnInvalidRequest(http::status::request_timeout, "too slow");
    case SessionState::kAwaitingResponse:
      return FailStreamedBody(http::status::request_timeout, "too slow");
    case SessionState::kWritingResponse:
    case SessionState::kLingering:
    case SessionState::kClosed:
      return Close();
  }
}

void ClientSession::AwaitRequest(Steady::duration time_limit) {
  EnterState(SessionState::kIdle, time_limit);
  if (reader_.PrepareForNextRequest()) return ReadRequest();
  socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](const Error& error) {
    if (self->state_ != SessionState::kIdle) return;
    if (error) return self->Close();
    self->ReadRequest();
  });
}

void ClientSession::ReadRequest() {
  // The time limit of the first request counts from the start of the connection.
  EnterState(SessionState::kReadingRequest,
             has_sent_request_ ? Steady::duration(timeouts().request_head) : deadline_ - Steady::now());
  reader_.ReadRequest();
}

void ClientSession::OnRequestRead(Steady::time_point at) {
  has_sent_request_ = true;
  at = std::min(at, reader_.ArrivalTime(at));
  HttpRequest message =
      reader_.TakeRequest(std::exchange(queued_since_, std::nullopt).value_or(state_since_));
  close_after_response_ = !message.keep_alive();
  http_1_0_ = message.version() < 11;
  if (message.method() == http::verb::get && message.target() == "/ready") return SendReadiness();
  ClientRequest request;
  if (const auto error = ParseClientRequest(std::move(message), at, manager_->config(), &request))
    return OnInvalidRequest(error->status, error->text);
  const auto id = request.message["Req-Id"];
  if (manager_->handler().IsRequestOpen({id.data(), id.size()}))
    return OnInvalidRequest(http::status::conflict, "Req-Id is that of an open request");
  request.answer_by = manager_->answer_by();
  ForwardRequest(std::move(request));
}

void ClientSession::SendReadiness() {
  const bool ready = manager_->handler().Ready() && !manager_->shutting_down();
  WriteResponse(ready ? TextResponse(http::status::ok, "ready\n")
                      : TextResponse(http::status::service_unavailable, "not ready\n"));
}

void ClientSession::ForwardRequest(ClientRequest&& request) {
  if (reader_.body_streaming()) {
    request.body_stream = shared_from_this();
    reader_.SetStreamedFraming(request.message);
  }
  EnterState(SessionState::kAwaitingResponse, std::nullopt);
  // No attempt is started for a client that disconnected while its request waited to be read.
  if (!reader_.body_streaming() && !reader_.ReadAhead(Steady::now())) return Close();
  is_forwarding_ = true;
  request_ = manager_->handler().OnRequest(std::move(request), shared_from_this());
  is_forwarding_ = false;
  if (!IsAwaitingResponse()) return;
  reader_.body_streaming() ? reader_.streamed_body()->ReadAhead() : WatchForDisconnect();
}

void ClientSession::WatchForDisconnect() {
  socket_.async_wait(Tcp::socket::wait_read,
                     [self = shared_from_this(), request = request_](const Error& error) {
                       if (error || !self->IsAwaitingResponse() || self->request_ != request) return;
                       if (self->reader_.ReadAhead(Steady::now())) return self->WatchForDisconnect();
                       auto& handler = self->manager_->handler();
                       self->Close();
                       handler.OnClientDisconnected(request);
                     });
}

// No further request is read from this client: its bytes may be the rest of the one that could not be parsed.
void ClientSession::OnInvalidRequest(http::status status, std::string text) {
  close_after_response_ = true;
  drops_streamed_body_ = reader_.body_streaming();
  reader_.DropRequest();
  WriteResponse(TextResponse(status, std::move(text) + '\n'));
}

void ClientSession::FailStreamedBody(std::optional<http::status> status, const char* text) {
  const auto self = shared_from_this();
  const OnBodyChunk on_chunk = reader_.CancelStreamedBody();
  auto& handler = manager_->handler();
  const RequestId request = request_;
  if (status) {
    OnInvalidRequest(*status, text);
  } else {
    Close();
  }
  if (on_chunk) on_chunk(false, {}, true);
  handler.OnClientDisconnected(request);
}

void ClientSession::RejectStreamedBody() {
  FailStreamedBody(http::status::service_unavailable, "shutting down; trying again is harmless");
}

void ClientSession::Read(OnBodyChunk on_chunk) {
  asio::post(socket_.get_executor(), [self = shared_from_this(), on_chunk = std::move(on_chunk)]() mutable {
    const auto body = self->reader_.streamed_body();
    if (!self->IsAwaitingResponse() || !body) return on_chunk(false, {}, true);
    body->Read(std::move(on_chunk));
  });
}

// An attempt that begins for a client which has disconnected would run for nobody.
bool ClientSession::ConfirmSender() {
  const auto body = reader_.streamed_body();
  return IsAwaitingResponse() && body && body->ConfirmClient();
}

std::optional<Steady::time_point> ClientSession::ArrivedAt() const {
  const auto body = reader_.streamed_body();
  return body ? body->arrived_at() : std::nullopt;
}

void ClientSession::OnStreamedBodyRead() {
  if (!is_forwarding_) WatchForDisconnect();
}

void ClientSession::SendResponse(HttpResponse response, std::shared_ptr<BodySource> body_stream,
                                 std::optional<std::uint64_t> body_length) {
  if (!IsAwaitingResponse()) return;
  HttpResponse forwarded{http::status::ok, 11};
  if (const auto type = response.find(http::field::content_type); type != response.end())
    forwarded.set(http::field::content_type, type->value());
  forwarded.body() = std::move(response.body());
  if (!body_stream) return WriteResponse(std::move(forwarded));
  WriteStream(std::move(forwarded), std::move(body_stream), body_length);
}

void ClientSession::SendUnavailable(Duration retry_after) {
  if (!IsAwaitingResponse()) return;
  HttpResponse response =
      TextResponse(http::status::service_unavailable, "refused; trying again is harmless\n");
  if (retry_after.count() > 0) {
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.3f", retry_after.count() / 1000);
    response.set(http::field::retry_after, seconds);
  }
  WriteResponse(std::move(response));
}

void ClientSession::SendBadGateway() {
  if (IsAwaitingResponse()) WriteResponse(TextResponse(http::status::bad_gateway, "failed\n"));
}

void ClientSession::SendClientError(http::status status) {
  if (IsAwaitingResponse()) OnInvalidRequest(status, "found faulty");
}

bool ClientSession::ClosesAfterResponse() const {
  return close_after_response_ || reader_.body_streaming() || reader_.read_ahead_overflowed() ||
         manager_->closes_after_response();
}

void ClientSession::WriteResponse(HttpResponse response) {
  EnterState(SessionState::kWritingResponse, timeouts().response_write);
  close_after_response_ = ClosesAfterResponse();
  writer_.Write(std::move(response), !close_after_response_);
}

void ClientSession::WriteStream(HttpResponse&& response, std::shared_ptr<BodySource> body_stream,
                                std::optional<std::uint64_t> body_length) {
  EnterState(SessionState::kWritingResponse, timeouts().response_write);
  // For an HTTP/1.0 client, only the close of the connection can delimit a body of unknown length.
  close_after_response_ = ClosesAfterResponse() || (!body_length && http_1_0_);
  writer_.WriteStream(std::move(response), std::move(body_stream),
                      {.keep_alive = !close_after_response_,
                       .body_length = body_length,
                       .chunked = !body_length && !http_1_0_});
}

void ClientSession::OnResponseWritten() {
  if (close_after_response_) return CloseLingering();
  AwaitRequest(timeouts().keep_alive);
  manager_->NotifyCapacity();
}

void ClientSession::AbortResponse() {
  Error ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  Close();
}

void ClientSession::CancelReads() {
  Error ignored;
  socket_.cancel(ignored);
}

void ClientSession::Close() {
  if (state_ == SessionState::kClosed) return;
  state_ = SessionState::kClosed;
  if (manager_) reader_.ReleaseMemory();
  writer_.CancelStream();
  reader_.CancelStreamedBody();
  Error ignored;
  socket_.close(ignored);
  if (manager_) manager_->Remove(*this);
}

void ClientSession::Detach() {
  manager_ = nullptr;
  Close();
}

void ClientSession::CloseLingering() {
  // Cancels the wait for the next request, or the read in progress.
  if (!IsWritingResponse()) CancelReads();
  reader_.ReleaseMemory();
  EnterState(SessionState::kLingering, timeouts().lingering_close);
  Error ignored;
  socket_.shutdown(Tcp::socket::shutdown_send, ignored);
  DiscardInput();
}

void ClientSession::DiscardInput() {
  socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](const Error& failed) {
    if (!self->IsLingering()) return;
    Error error = failed;
    if (!error) self->discarded_bytes_ += self->socket_.read_some(asio::buffer(ReadScratch()), error);
    if (error == asio::error::would_block || error == asio::error::try_again) error = {};
    const std::size_t max_bytes = self->IsBodyUnread() ? kMaxBody : kMaxDiscardedBytes;
    if (error || self->discarded_bytes_ > max_bytes) return self->Close();
    self->DiscardInput();
  });
}

void ClientSession::CloseImmediately() {
  Error error;
  socket_.shutdown(Tcp::socket::shutdown_send, error);
  char discarded[kImmediateCloseBufferBytes];
  for (int reads = 0; reads < kMaxImmediateCloseReads && !error; ++reads)
    socket_.read_some(asio::buffer(discarded), error);
  Close();
}

const std::shared_ptr<MemoryBudget>& ClientSession::body_memory() const { return manager_->body_memory(); }
const Timeouts& ClientSession::timeouts() const { return manager_->config().timeouts; }
const ResourceShares& ClientSession::shares() const { return manager_->config().shares; }

}  // namespace copperpoint::proxy
