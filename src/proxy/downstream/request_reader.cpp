// SPDX-License-Identifier: Apache-2.0
#include "proxy/downstream/request_reader.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <memory>
#include <utility>

#include "proxy/downstream/client_session.h"
#include "proxy/http/framing.h"

namespace copperpoint::proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Error = boost::system::error_code;

constexpr std::size_t kMaxHeaderBytes = std::size_t{16} * 1024;
constexpr std::size_t kMaxReadAheadBytes = std::size_t{32} * 1024;
constexpr std::size_t kDiscardBufferBytes = 4096;
// Maximum reads for one client in one turn of the event loop, so that other clients are served in between.
constexpr int kMaxReadsPerTurn = 32;
// Copies of a body that are in memory while it is read.
constexpr std::size_t kBodyCopies = 2;

bool WouldBlock(const Error& error) {
  return error == asio::error::would_block || error == asio::error::try_again;
}

// @return true if the client sent invalid data, false if the connection failed.
bool IsParseError(const Error& error) {
  return error.category() == http::make_error_code(http::error::bad_version).category() &&
         error != http::error::end_of_stream && error != http::error::partial_message;
}

}  // namespace

RequestReader::RequestReader(ClientSession& session, asio::ip::tcp::socket& socket)
    : session_(session), socket_(socket), buffer_(kMaxBufferedBody + kMaxHeaderBytes) {}

bool RequestReader::PrepareForNextRequest() {
  ReleaseMemory();
  parser_.reset();
  if (buffer_.size() > 0) return true;
  arrivals_.Clear();
  buffer_.shrink_to_fit();
  return false;
}

void RequestReader::ReadRequest() {
  parser_.emplace();
  parser_->header_limit(kMaxHeaderBytes);
  parser_->body_limit(kMaxBody);
  body_.clear();
  http::async_read_header(socket_, buffer_, *parser_,
                          [this, session = session_.shared_from_this(), buffered = buffer_.size()](
                              const Error& error, std::size_t header_bytes) {
                            if (!session->IsReadingRequest()) return;
                            if (error) return OnReadError(error);
                            request_bytes_ = header_bytes + parser_->content_length().value_or(0);
                            arrived_before_read_ = !parser_->chunked() && request_bytes_ <= buffered;
                            OnHeader();
                          });
}

void RequestReader::OnHeader() {
  const auto& header = parser_->get();
  if (const auto error = ValidateRequestHeader(header))
    return session_.OnInvalidRequest(error->status, error->text);
  const std::size_t length = static_cast<std::size_t>(
      parser_->chunked() ? kMaxBufferedBody
                         : std::min<std::uint64_t>(kMaxBufferedBody, parser_->content_length().value_or(0)));
  if (!session_.body_memory().Reserve(length * kBodyCopies)) {
    return session_.OnInvalidRequest(http::status::service_unavailable,
                                     "no memory for this now; trying again is harmless");
  }
  reserved_bytes_ = length * kBodyCopies;
  body_limit_bytes_ = kMaxBufferedBody;
  body_started_ = Steady::now();
  if (boost::beast::iequals(header[http::field::expect], "100-continue")) return SendContinue();
  ReadBufferedBody();
}

void RequestReader::SendContinue() {
  const auto response = std::make_shared<http::response<http::empty_body>>(http::status::continue_, 11);
  http::async_write(socket_, *response,
                    [this, session = session_.shared_from_this(), response](const Error& error, std::size_t) {
                      if (!session->IsReadingRequest()) return;
                      if (error) return session->Close();
                      ReadBufferedBody();
                    });
}

void RequestReader::ReadBufferedBody() {
  if (parser_->is_done() || (body_.size() >= body_limit_bytes_ && !ExtendBodyBuffer()))
    return session_.OnRequestRead(Steady::now());
  session_.ExtendDeadline(body_started_ + session_.timeouts().body_grace + TimeAtMinRate(body_.size()));
  ReadBodyChunk(socket_, buffer_, *parser_, chunk_,
                [this, session = session_.shared_from_this()](const Error& error, auto bytes_read) {
                  if (!session->IsReadingRequest()) return;
                  body_.append(chunk_.data(), bytes_read());
                  if (error) return OnReadError(error);
                  ReadBufferedBody();
                });
}

// A medium-sized body is buffered as well while memory allows: until it is complete it uses no backend's
// capacity, and afterwards the request can be retried.
bool RequestReader::ExtendBodyBuffer() {
  const auto max_bytes = static_cast<std::size_t>(session_.shares().max_buffered_body_bytes);
  if (body_limit_bytes_ >= max_bytes || parser_->content_length().value_or(0) > max_bytes) return false;
  if (!session_.body_memory().Reserve(kMaxBufferedBody)) return false;
  reserved_bytes_ += kMaxBufferedBody;
  body_limit_bytes_ += kMaxBufferedBody;
  return true;
}

Steady::duration RequestReader::TimeAtMinRate(std::size_t bytes) const {
  return std::chrono::milliseconds(bytes * 1000 /
                                   static_cast<std::size_t>(session_.shares().min_body_rate_bytes_per_s));
}

void RequestReader::OnReadError(const Error& error) {
  if (!IsParseError(error)) return session_.Close();
  if (error == http::error::body_limit)
    return session_.OnInvalidRequest(http::status::payload_too_large, "too large");
  if (error == http::error::header_limit || error == http::error::buffer_overflow)
    return session_.OnInvalidRequest(http::status::request_header_fields_too_large, "header too large");
  session_.OnInvalidRequest(http::status::bad_request, "malformed");
}

HttpRequest RequestReader::TakeRequest() {
  body_streaming_ = !parser_->is_done();
  streamed_bytes_ = 0;
  streaming_time_ = {};
  HttpRequest message(parser_->get().base(), std::exchange(body_, {}));
  if (!body_streaming_) chunk_ = {};
  return message;
}

void RequestReader::SetStreamedFraming(HttpRequest& message) const {
  if (parser_->chunked()) return message.chunked(true);
  message.content_length(parser_->content_length().value_or(0));
}

Steady::time_point RequestReader::ArrivalTime(Steady::time_point now) {
  if (arrived_before_read_) return arrivals_.Consume(request_bytes_, now);
  arrivals_.Clear();
  if (buffer_.size() > 0) arrivals_.Add(buffer_.size(), now);
  return now;
}

// The chunks of a streamed body together may take the time at the minimum rate plus a grace period. Time in
// which the backend side requests no chunk (backpressure) does not count against the client.
void RequestReader::ReadStreamedBody(BodySource::OnBodyChunk on_chunk) {
  on_chunk_ = std::move(on_chunk);
  const auto started = Steady::now();
  session_.SetDeadline(started +
                       std::max<Steady::duration>(
                           session_.timeouts().body_grace + TimeAtMinRate(streamed_bytes_) - streaming_time_,
                           std::chrono::milliseconds(1)));
  ReadBodyChunk(socket_, buffer_, *parser_, chunk_,
                [this, session = session_.shared_from_this(), started](const Error& error, auto bytes_read) {
                  if (!session->IsAwaitingResponse() || !on_chunk_) return;
                  if (error) return OnStreamedBodyError(error);
                  const auto now = Steady::now();
                  const std::size_t bytes = bytes_read();
                  streaming_time_ += now - started;
                  streamed_bytes_ += bytes;
                  session->SetDeadline(Steady::time_point::max());
                  const bool last = parser_->is_done();
                  if (last) {
                    body_streaming_ = false;
                    session->WatchForDisconnect();
                  }
                  std::exchange(on_chunk_, nullptr)(true, {chunk_.data(), bytes}, last);
                });
}

BodySource::OnBodyChunk RequestReader::CancelStreamedBody() { return std::exchange(on_chunk_, nullptr); }

void RequestReader::OnStreamedBodyError(const Error& error) {
  if (IsParseError(error)) return session_.FailStreamedBody(http::status::bad_request, "malformed");
  session_.FailStreamedBody(std::nullopt, "");
}

bool RequestReader::ReadAhead(Steady::time_point at, bool may_discard) {
  for (int reads = 0; reads < kMaxReadsPerTurn; ++reads) {
    Error error;
    if (buffer_.size() >= kMaxReadAheadBytes) {
      if (!may_discard) return true;
      char discarded[kDiscardBufferBytes];
      read_ahead_overflowed_ = true;
      socket_.read_some(asio::buffer(discarded), error);
    } else {
      const std::size_t bytes =
          socket_.read_some(buffer_.prepare(kMaxReadAheadBytes - buffer_.size()), error);
      if (bytes > 0) arrivals_.Add(bytes, at);
      buffer_.commit(bytes);
    }
    if (WouldBlock(error)) return true;
    if (error && error != asio::error::interrupted) return false;
  }
  return true;
}

void RequestReader::ReleaseMemory() { session_.body_memory().Release(std::exchange(reserved_bytes_, 0)); }

}  // namespace copperpoint::proxy
