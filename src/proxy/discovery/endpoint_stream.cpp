// SPDX-License-Identifier: Apache-2.0
#include "proxy/discovery/endpoint_stream.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace copperpoint::proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::size_t kMaxMessageBytes = std::size_t{8} * 1024 * 1024;
// A long message extends the idle timeout by the time that its bytes take at this rate.
constexpr std::size_t kMinBytesPerMillisecond = 500;

}  // namespace

EndpointStream::EndpointStream(asio::io_context& io, Observer& observer,
                               const asio::ip::tcp::endpoint& address, const Timeouts& timeouts,
                               Request request)
    : observer_(&observer), address_(address), timeouts_(timeouts), request_kind_(request), socket_(io) {}

void EndpointStream::Detach() {
  observer_ = nullptr;
  socket_.close();
}

void EndpointStream::Enter(State state) {
  switch (state) {
    case State::kConnecting:
      return Connect();
    case State::kSendingRequest:
      return SendRequest();
    case State::kReadingHeader:
      return ReadHeader();
    case State::kReadingBody:
      return ReadBody();
  }
}

void EndpointStream::Connect() {
  socket_.expires_after(timeouts_.connect);
  socket_.async_connect(address_, [self = shared_from_this()](const Error& error) {
    if (!self->observer_) return;
    if (error) {
      self->End({error});
      return;
    }
    self->Enter(State::kSendingRequest);
  });
}

void EndpointStream::SendRequest() {
  request_.method(http::verb::get);
  request_.version(11);
  const std::string revision = std::to_string(observer_->revision());
  request_.target(request_kind_ == Request::kSnapshot ? "/v1/endpoints"
                                                      : "/v1/endpoints?stream=1&index=" + revision);
  request_.set(http::field::host, address_.address().to_string());
  RecordActivity();
  message_received_ = false;
  ArmIdleTimeout();
  http::async_write(socket_, request_, [self = shared_from_this()](const Error& error, std::size_t) {
    if (!self->observer_) return;
    if (error) {
      self->End({error});
      return;
    }
    self->Enter(State::kReadingHeader);
  });
}

void EndpointStream::ReadHeader() {
  parser_.emplace();
  parser_->body_limit(boost::none);
  http::async_read_header(socket_, buffer_, *parser_,
                          [self = shared_from_this()](const Error& error, std::size_t) {
                            if (!self->observer_) return;
                            if (error) {
                              self->End({error});
                              return;
                            }
                            self->OnHeader();
                          });
}

void EndpointStream::OnHeader() {
  if (parser_->get().result() != http::status::ok) {
    End({StreamError::kHttpStatus, parser_->get().result_int()});
    return;
  }
  Enter(State::kReadingBody);
}

void EndpointStream::ReadBody() {
  if (parser_->is_done()) return OnBodyComplete();
  parser_->get().body().data = chunk_.data();
  parser_->get().body().size = chunk_.size();
  ArmIdleTimeout();
  http::async_read_some(socket_, buffer_, *parser_, [self = shared_from_this()](Error error, std::size_t) {
    if (!self->observer_) return;
    if (error == http::error::need_buffer) error = {};
    const std::size_t received = self->chunk_.size() - self->parser_->get().body().size;
    if (!self->OnBody({self->chunk_.data(), received})) return;
    if (error) return self->OnBodyError(error);
    self->Enter(State::kReadingBody);
  });
}

void EndpointStream::OnBodyComplete() {
  if (request_kind_ == Request::kSnapshot) return OnSnapshotComplete();
  OnBodyError(StreamError::kEndOfStream);
}

// A complete last message is delivered even if its line end did not arrive.
void EndpointStream::OnBodyError(const Error& error) {
  std::string last;
  if (request_kind_ == Request::kWatch && framer_.TakeLast(&last)) observer_->OnMessage(*this, last);
  End({error});
}

// The watch continues from the snapshot, on the same connection if that stays open.
void EndpointStream::OnSnapshotComplete() {
  const bool connection_open = parser_->keep_alive();
  const std::string snapshot = std::exchange(snapshot_, {});
  if (!observer_->OnMessage(*this, snapshot)) {
    End({StreamError::kMalformedSnapshot});
    return;
  }
  if (!observer_) return;
  request_kind_ = Request::kWatch;
  if (connection_open) return Enter(State::kSendingRequest);
  socket_.close();
  buffer_.clear();
  Enter(State::kConnecting);
}

bool EndpointStream::OnBody(std::string_view bytes) {
  unfinished_bytes_ += bytes.size();
  return request_kind_ == Request::kSnapshot ? OnSnapshotBytes(bytes) : OnWatchBytes(bytes);
}

bool EndpointStream::OnSnapshotBytes(std::string_view bytes) {
  snapshot_ += bytes;
  return snapshot_.size() <= kMaxMessageBytes || End({StreamError::kSnapshotTooLong});
}

bool EndpointStream::OnWatchBytes(std::string_view bytes) {
  framer_.Add(bytes);
  std::string message;
  for (;;) {
    const MessageFramer::Result result = framer_.Take(&message);
    if (result == MessageFramer::Result::kMore) break;
    if (result == MessageFramer::Result::kMalformed) {
      observer_->OnFramingError();
      return End({StreamError::kMalformedMessage});
    }
    RecordActivity();
    if (result == MessageFramer::Result::kEmptyLine) continue;
    const bool usable = observer_->OnMessage(*this, message);
    if (!observer_) return false;
    if (!usable) return End({StreamError::kMalformedMessage});
  }
  return framer_.size() <= kMaxMessageBytes || End({StreamError::kMessageTooLong});
}

void EndpointStream::RecordActivity() {
  last_activity_ = Steady::now();
  unfinished_bytes_ = 0;
  message_received_ = true;
}

void EndpointStream::ArmIdleTimeout() {
  socket_.expires_at(last_activity_ + (message_received_ ? timeouts_.idle : timeouts_.first_message) +
                     std::chrono::milliseconds(unfinished_bytes_ / kMinBytesPerMillisecond));
}

bool EndpointStream::End(const StreamFailure& failure) {
  if (Observer* observer = std::exchange(observer_, nullptr)) {
    socket_.close();
    observer->OnStreamEnded(*this, failure);
  }
  return false;
}

}  // namespace copperpoint::proxy
