// SPDX-License-Identifier: Apache-2.0
#include "proxy/upstream/response_reader.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <cstddef>
#include <utility>

#include "proxy/http/framing.h"
#include "proxy/upstream/backend_connection.h"

namespace copperpoint::proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Error = boost::system::error_code;

constexpr std::size_t kMaxHeaderBytes = std::size_t{16} * 1024;
constexpr std::size_t kHeaderReadBytes = std::size_t{4} * 1024;
constexpr int kMaxInformationalResponses = 8;
constexpr unsigned kFirstFinalStatus = 200;

}  // namespace

ResponseReader::ResponseReader(BackendConnection& connection, asio::ip::tcp::socket& socket,
                               std::shared_ptr<MemoryBudget> memory)
    : connection_(connection),
      socket_(socket),
      buffer_(kMaxBufferedBody + kMaxHeaderBytes),
      memory_(std::move(memory)) {}

void ResponseReader::Reset() {
  body_.clear();
  memory_.Clear();
  informational_responses_ = 0;
  body_bytes_ = 0;
  buffers_unknown_length_ = stops_buffering_ = false;
}

void ResponseReader::Read() {
  parser_.emplace();
  parser_->body_limit(kMaxBody);
  parser_->header_limit(kMaxHeaderBytes);
  ParseHeader();
}

void ResponseReader::ParseHeader() {
  if (buffer_.size() > 0) {
    Error error;
    buffer_.consume(parser_->put(buffer_.data(), error));
    if (error && error != http::error::need_more) return connection_.FailResponse();
    if (parser_->is_header_done()) return OnHeader();
  }
  AwaitHeaderBytes();
}

// Between a 1xx response and the next one the backend still processes the request; a header that has begun is
// complete soon, and its time limit counts anew from each of its pieces.
void ResponseReader::AwaitHeaderBytes() {
  if (buffer_.size() > 0) {
    connection_.RestartResponseTimer(connection_.timeouts().response_header_stall);
  } else {
    connection_.RestartAttemptTimer();
  }
  socket_.async_wait(asio::ip::tcp::socket::wait_read, [this, connection = connection_.shared_from_this(),
                                                        id = connection_.attempt_id()](const Error& error) {
    if (!connection->IsCurrent(id)) return;
    if (error || ReceiveHeaderBytes()) return connection->FailResponse();
    ParseHeader();
  });
}

boost::system::error_code ResponseReader::ReceiveHeaderBytes() {
  Error error;
  const std::size_t bytes = socket_.read_some(buffer_.prepare(kHeaderReadBytes), error);
  buffer_.commit(bytes);
  const bool retry = error == asio::error::would_block || error == asio::error::try_again ||
                     error == asio::error::interrupted;
  return retry ? Error{} : error;
}

void ResponseReader::OnHeader() {
  const auto& header = parser_->get();
  if (header.result_int() < kFirstFinalStatus) {
    // The final response is still to come. 101 is invalid, as no request asks to switch protocols.
    const bool invalid = header.result() == http::status::switching_protocols ||
                         ++informational_responses_ > kMaxInformationalResponses;
    return invalid ? connection_.FailResponse() : Read();
  }
  if (!IsFramingAcceptable()) return connection_.FailResponse();
  buffers_unknown_length_ =
      !parser_->is_done() && !parser_->content_length() && header.result() == http::status::ok;
  connection_.OnBodyStarted();
  ReadBody();
}

// A response delimited by the close of the connection cannot be distinguished from a truncated one, unless
// the backend has announced the close: then an orderly close ends the response, and a reset truncates it.
bool ResponseReader::IsFramingAcceptable() const {
  const auto& header = parser_->get();
  const bool announces_close =
      header.version() >= 11 && http::token_list(header[http::field::connection]).exists("close");
  return IsFramingUnambiguous(header, header.version()) &&
         (!parser_->need_eof() || parser_->chunked() || announces_close);
}

void ResponseReader::ReadBody() {
  if (parser_->is_done())
    return connection_.OnResponse(HttpResponse(parser_->get().base(), std::move(body_)), allows_reuse());
  const auto length = parser_->content_length();
  if (stops_buffering_ || body_.size() > kMaxBufferedBody || (length && *length > kMaxBufferedBody)) {
    const bool is_ok = parser_->get().result() == http::status::ok;
    return is_ok ? StartStream() : connection_.FailResponse();
  }
  const auto is_current = [connection = connection_.shared_from_this(), id = connection_.attempt_id()] {
    return connection->IsCurrent(id);
  };
  ReadBodyChunk(socket_, buffer_, *parser_, kBodyChunkSize, is_current,
                [this](const Error& error, std::string_view chunk) { OnBodyChunk(error, chunk); });
}

void ResponseReader::OnBodyChunk(const Error& error, std::string_view chunk) {
  const bool interrupted = stops_buffering_ && error == asio::error::operation_aborted;
  if (error && !interrupted) return connection_.FailResponse();
  body_bytes_ += chunk.size();
  // Of an error only the header matters.
  if (parser_->get().result() == http::status::ok) {
    body_.append(chunk);
    // Where memory is short, a response is streamed that could have been buffered.
    if (!memory_.Resize(body_.capacity())) stops_buffering_ = true;
  } else if (body_bytes_ > kMaxBufferedBody) {
    return connection_.FailResponse();
  }
  connection_.RestartResponseTimer(connection_.timeouts().response_stall);
  ReadBody();
}

// The read in progress may have bytes already, so that only its completion starts the stream.
void ResponseReader::StopBuffering() {
  if (std::exchange(stops_buffering_, true)) return;
  Error ignored;
  socket_.cancel(ignored);
}

void ResponseReader::StartStream() {
  buffers_unknown_length_ = false;
  std::optional<std::uint64_t> length;
  if (parser_->content_length()) length = *parser_->content_length();
  connection_.OnStreamedResponse(HttpResponse(parser_->get().base(), std::move(body_)), length);
}

void ResponseReader::ReadStreamedBody(BodySource::OnBodyChunk on_chunk) {
  on_chunk_ = std::move(on_chunk);
  if (connection_.closed()) {
    asio::post(socket_.get_executor(), [this, connection = connection_.shared_from_this()] {
      if (const auto on_chunk = CancelStreamedBody()) on_chunk(false, {}, true);
    });
    return;
  }
  connection_.RestartStreamTimer(may_be_small());
  const auto is_current = [this, connection = connection_.shared_from_this()] {
    return connection->streaming() && on_chunk_;
  };
  ReadBodyChunk(socket_, buffer_, *parser_, ReserveChunk(), is_current,
                [this](const Error& error, std::string_view chunk) {
                  const auto connection = connection_.shared_from_this();
                  if (error) return connection->Close();
                  // The time in which the client receives the chunk does not count against the backend.
                  connection->SetTimer(Steady::time_point::max());
                  body_bytes_ += chunk.size();
                  CancelStreamedBody()(true, chunk, parser_->is_done());
                });
}

// The chunk is in memory until the client has taken it, in the coding of the client's response.
std::size_t ResponseReader::ReserveChunk() {
  memory_.Clear();
  if (memory_.Resize(kBodyChunkSize)) return kBodyChunkSize;
  memory_.Charge(kSmallBodyChunkSize);
  return kSmallBodyChunkSize;
}

BodySource::OnBodyChunk ResponseReader::CancelStreamedBody() { return std::exchange(on_chunk_, nullptr); }

bool ResponseReader::allows_reuse() const {
  return parser_->is_done() && parser_->keep_alive() && buffer_.size() == 0;
}

void ResponseReader::Clear() {
  parser_.reset();
  body_ = {};
  memory_.Clear();
  buffer_.clear();
  buffer_.shrink_to_fit();
}

}  // namespace copperpoint::proxy
