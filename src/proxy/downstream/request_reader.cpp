// SPDX-License-Identifier: Apache-2.0
#include "proxy/downstream/request_reader.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <iterator>
#include <memory>
#include <utility>

#include "proxy/downstream/client_session.h"
#include "proxy/downstream/read_error.h"
#include "proxy/http/framing.h"
#include "proxy/http/read_size.h"

namespace copperpoint::proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Error = boost::system::error_code;

constexpr std::size_t kMaxHeaderBytes = std::size_t{16} * 1024;
// A header of many short fields takes a multiple of its own size in memory.
constexpr std::size_t kMaxHeaderFields = 128;
constexpr std::size_t kLinesWithoutField = 2;  // the request line and the empty one
constexpr std::size_t kFieldOverheadBytes = 128;
// Copies of a header that are in memory until its response: the message, and the text that is forwarded.
constexpr std::size_t kHeaderCopies = 2;
// Read of a header at once, so that little of what follows it is read with it.
constexpr std::size_t kHeaderReadBytes = std::size_t{2} * 1024;
constexpr std::size_t kMaxReadAheadBytes = std::size_t{32} * 1024;
constexpr std::size_t kReadAheadStepBytes = std::size_t{2} * 1024;
// The capacity of a buffer that grows, as a multiple of its content.
constexpr std::size_t kBufferGrowth = 2;
// Maximum reads for one client in one turn of the event loop, so that other clients are served in between.
constexpr int kMaxReadsPerTurn = 32;
// Copies of a body that are in memory while it is read.
constexpr std::size_t kBodyCopies = 2;

bool WouldBlock(const Error& error) {
  return error == asio::error::would_block || error == asio::error::try_again;
}

}  // namespace

RequestReader::RequestReader(ClientSession& session, asio::ip::tcp::socket& socket,
                             const std::shared_ptr<MemoryBudget>& buffer_memory)
    : session_(session),
      socket_(socket),
      buffer_(kMaxBufferedBody + kMaxHeaderBytes),
      input_memory_(buffer_memory),
      header_memory_(buffer_memory) {}

bool RequestReader::PrepareForNextRequest() {
  streamed_body_.reset();
  parser_.reset();
  buffer_.shrink_to_fit();
  ReleaseMemory();
  if (buffer_.size() > 0) return true;
  arrivals_.Clear();
  return false;
}

void RequestReader::ReadRequest() {
  parser_.emplace();
  parser_->header_limit(kMaxHeaderBytes);
  parser_->body_limit(kMaxBody);
  body_.clear();
  header_lines_ = {};
  buffered_before_read_ = buffer_.size();
  // Posted, so that other clients are served before a request that was sent ahead.
  if (buffered_before_read_ == 0) return ReceiveHeaderBytes();
  asio::post(socket_.get_executor(), [this, session = session_.shared_from_this()] {
    if (session->IsReadingRequest()) ParseHeader();
  });
}

void RequestReader::ParseHeader() {
  const auto received = buffer_.data();
  const std::size_t lines = header_lines_.Count({static_cast<const char*>(received.data()), received.size()});
  if (lines > kMaxHeaderFields + kLinesWithoutField)
    return session_.OnInvalidRequest(http::status::request_header_fields_too_large, "too many header fields");
  Error error;
  const std::size_t header_bytes = parser_->put(buffer_.data(), error);
  buffer_.consume(header_bytes);
  if (error == http::error::need_more) return AwaitHeaderBytes();
  if (error) return OnReadError(error);
  request_bytes_ = header_bytes + parser_->content_length().value_or(0);
  arrived_before_read_ = !parser_->chunked() && request_bytes_ <= buffered_before_read_;
  OnHeader(header_bytes);
}

void RequestReader::AwaitHeaderBytes() {
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [this, session = session_.shared_from_this()](const Error& error) {
                       if (!session->IsReadingRequest()) return;
                       if (error) return OnReadError(error);
                       ReceiveHeaderBytes();
                     });
}

void RequestReader::ReceiveHeaderBytes() {
  if (!ReserveInput(kHeaderReadBytes)) return RejectForMemory();
  Error error;
  const std::size_t bytes = socket_.read_some(asio::buffer(ReadScratch().data(), kHeaderReadBytes), error);
  if (WouldBlock(error) || error == asio::error::interrupted) return AwaitHeaderBytes();
  if (error) return OnReadError(error);
  AppendInput(bytes);
  ParseHeader();
}

void RequestReader::OnHeader(std::size_t header_bytes) {
  const auto& header = parser_->get();
  if (const auto error = ValidateRequestHeader(header))
    return session_.OnInvalidRequest(error->status, error->text);
  const auto fields = static_cast<std::size_t>(std::distance(header.begin(), header.end()));
  const std::size_t length = static_cast<std::size_t>(
      parser_->chunked() ? kMaxBufferedBody
                         : std::min<std::uint64_t>(kMaxBufferedBody, parser_->content_length().value_or(0)));
  if (!header_memory_.Resize(header_bytes * kHeaderCopies + fields * kFieldOverheadBytes) ||
      !session_.body_memory()->Reserve(length * kBodyCopies))
    return RejectForMemory();
  reserved_bytes_ = length * kBodyCopies;
  body_limit_bytes_ = kMaxBufferedBody;
  body_started_ = Steady::now();
  if (boost::beast::iequals(header[http::field::expect], "100-continue")) return SendContinue();
  ReadBufferedBody();
}

void RequestReader::RejectForMemory() {
  session_.OnInvalidRequest(http::status::service_unavailable,
                            "no memory for this now; trying again is harmless");
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
  const auto is_current = [session = session_.shared_from_this()] { return session->IsReadingRequest(); };
  ReadBodyChunk(socket_, buffer_, *parser_, BodyReadSize(*parser_, body_.size(), kBodyChunkSize), is_current,
                [this](const Error& error, std::string_view chunk) { OnBodyChunk(error, chunk); });
}

void RequestReader::OnBodyChunk(const Error& error, std::string_view chunk) {
  body_.append(chunk);
  if (error) return OnReadError(error);
  ReadBufferedBody();
}

// A medium-sized body is buffered as well while memory allows: until it is complete it uses no backend's
// capacity, and afterwards the request can be retried.
bool RequestReader::ExtendBodyBuffer() {
  const auto max_bytes = static_cast<std::size_t>(session_.shares().max_buffered_body_bytes);
  if (body_limit_bytes_ >= max_bytes || parser_->content_length().value_or(0) > max_bytes) return false;
  const std::size_t step_bytes = kMaxBufferedBody * kBodyCopies;
  if (!session_.body_memory()->Reserve(step_bytes)) return false;
  reserved_bytes_ += step_bytes;
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

HttpRequest RequestReader::TakeRequest(Steady::time_point connected_at) {
  if (!parser_->is_done()) {
    streamed_body_ =
        std::make_shared<StreamedBody>(session_, socket_, buffer_, *parser_, body_.size(), connected_at);
  }
  return HttpRequest(std::move(parser_->get().base()), std::exchange(body_, {}));
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

bool RequestReader::ReadAhead(Steady::time_point at, bool may_discard) {
  const bool connected = ReadAvailable(at, may_discard);
  input_memory_.Charge(buffer_.capacity());
  return connected;
}

bool RequestReader::ReadAvailable(Steady::time_point at, bool may_discard) {
  auto& scratch = ReadScratch();
  for (int reads = 0; reads < kMaxReadsPerTurn; ++reads) {
    const std::size_t room = ReadAheadRoom();
    if (room == 0 && !may_discard) return true;
    Error error;
    const std::size_t bytes =
        socket_.read_some(asio::buffer(scratch.data(), room > 0 ? room : scratch.size()), error);
    if (WouldBlock(error)) return true;
    if (error && error != asio::error::interrupted) return false;
    if (bytes == 0) continue;
    if (room == 0) {
      read_ahead_overflowed_ = true;
    } else {
      arrivals_.Add(bytes, at);
      AppendInput(bytes);
    }
  }
  return true;
}

// @return how many bytes may be kept of the next read; 0 at the limit of the connection or of memory.
std::size_t RequestReader::ReadAheadRoom() {
  if (read_ahead_overflowed_ || buffer_.size() >= kMaxReadAheadBytes) return 0;
  const std::size_t room = std::min(kReadAheadStepBytes, kMaxReadAheadBytes - buffer_.size());
  return ReserveInput(room) ? room : 0;
}

bool RequestReader::ReserveInput(std::size_t bytes) {
  return input_memory_.Resize((buffer_.size() + bytes) * kBufferGrowth);
}

void RequestReader::AppendInput(std::size_t bytes) {
  buffer_.commit(asio::buffer_copy(buffer_.prepare(bytes), asio::buffer(ReadScratch().data(), bytes)));
}

void RequestReader::DropRequest() {
  streamed_body_.reset();
  parser_.reset();
  body_ = {};
  buffer_.clear();
  buffer_.shrink_to_fit();
  ReleaseMemory();
}

void RequestReader::ReleaseMemory() {
  session_.body_memory()->Release(std::exchange(reserved_bytes_, 0));
  header_memory_.Clear();
  input_memory_.Charge(buffer_.capacity());
}

}  // namespace copperpoint::proxy
