// SPDX-License-Identifier: Apache-2.0
#include "proxy/upstream/response_reader.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http/read.hpp>
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
constexpr int kMaxInformationalResponses = 8;
constexpr unsigned kFirstFinalStatus = 200;

}  // namespace

ResponseReader::ResponseReader(BackendConnection& connection, asio::ip::tcp::socket& socket)
    : connection_(connection), socket_(socket), buffer_(kMaxBufferedBody + kMaxHeaderBytes) {}

void ResponseReader::Reset() {
  body_.clear();
  informational_responses_ = 0;
}

void ResponseReader::Read() {
  parser_.emplace();
  parser_->body_limit(kMaxBody);
  parser_->header_limit(kMaxHeaderBytes);
  http::async_read_header(socket_, buffer_, *parser_,
                          [this, connection = connection_.shared_from_this(), id = connection_.attempt_id()](
                              const Error& error, std::size_t) {
                            if (!connection->IsCurrent(id)) return;
                            if (error) return connection->FailResponse();
                            OnHeader();
                          });
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
  if (body_.size() > kMaxBufferedBody || (length && *length > kMaxBufferedBody)) {
    const bool is_ok = parser_->get().result() == http::status::ok;
    return is_ok ? StartStream() : connection_.FailResponse();
  }
  ReadBodyChunk(socket_, buffer_, *parser_, chunk_,
                [this, connection = connection_.shared_from_this(), id = connection_.attempt_id()](
                    const Error& error, auto bytes_read) {
                  if (!connection->IsCurrent(id)) return;
                  if (error) return connection->FailResponse();
                  body_.append(chunk_.data(), bytes_read());
                  connection->RestartResponseTimer();
                  ReadBody();
                });
}

void ResponseReader::StartStream() {
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
  connection_.SetTimer(Steady::now() + connection_.timeouts().body_stall);
  ReadBodyChunk(socket_, buffer_, *parser_, chunk_,
                [this, connection = connection_.shared_from_this()](const Error& error, auto bytes_read) {
                  if (!connection->streaming() || !on_chunk_) return;
                  if (error) return connection->Close();
                  // The time in which the client receives the chunk does not count against the backend.
                  connection->SetTimer(Steady::time_point::max());
                  CancelStreamedBody()(true, {chunk_.data(), bytes_read()}, parser_->is_done());
                });
}

BodySource::OnBodyChunk ResponseReader::CancelStreamedBody() { return std::exchange(on_chunk_, nullptr); }

bool ResponseReader::allows_reuse() const {
  return parser_->is_done() && parser_->keep_alive() && buffer_.size() == 0;
}

void ResponseReader::Clear() {
  parser_.reset();
  body_ = {};
  chunk_ = {};
  buffer_.clear();
  buffer_.shrink_to_fit();
}

}  // namespace copperpoint::proxy
