// SPDX-License-Identifier: Apache-2.0
#include "proxy/downstream/streamed_body.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <utility>

#include "proxy/downstream/client_session.h"
#include "proxy/downstream/read_error.h"
#include "proxy/http/read_size.h"

namespace copperpoint::proxy {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Error = boost::system::error_code;

// Reads without waiting in one turn of the event loop, so that other clients are served in between.
constexpr int kMaxReadsPerTurn = 64;
// Fraction of the memory for bodies that is left to bodies which have to be buffered before they are
// forwarded.
constexpr double kMemoryLeftToOthers = 0.25;
// A block with less room is not filled further.
constexpr std::size_t kMinReadBytes = kSmallBodyChunkSize;

}  // namespace

StreamedBody::StreamedBody(ClientSession& session, asio::ip::tcp::socket& socket,
                           boost::beast::flat_buffer& buffer, Parser& parser, std::size_t buffered_bytes,
                           Steady::time_point connected_at)
    : session_(session),
      socket_(socket),
      buffer_(buffer),
      parser_(parser),
      memory_(session.body_memory()),
      buffered_bytes_(buffered_bytes),
      connected_at_(connected_at) {}

StreamedBody::~StreamedBody() { memory_->Release(reserved_bytes_); }

void StreamedBody::ReadAhead() {
  RecordArrival();
  if (reading_ || complete_ || !ReserveBlock()) return;
  reading_ = true;
  reading_since_ = Steady::now();
  session_.SetDeadline(reading_since_ + TimeLeft());
  const auto is_current = [body = weak_from_this(), session = session_.shared_from_this()] {
    const auto self = body.lock();
    return self && !self->complete_ && session->IsAwaitingResponse();
  };
  ReadBodyChunk(socket_, buffer_, parser_,
                BodyReadSize(parser_, buffered_bytes_ + read_bytes_, RoomInLastBlock()), is_current,
                [this](const Error& error, std::string_view chunk) {
                  const auto self = shared_from_this();
                  OnRead(error, chunk);
                });
}

// Where memory does not allow to read the end, it may have arrived all the same.
void StreamedBody::RecordArrival() {
  const std::uint64_t remaining = RemainingBodyBytes(parser_, buffered_bytes_ + read_bytes_);
  if (arrived_at_ || complete_ || remaining == 0) return;
  Error failed;
  if (buffer_.size() + socket_.available(failed) >= remaining && !failed) arrived_at_ = Steady::now();
}

// The chunks together may take the time at the minimum rate plus a grace period. Time in which memory allows
// no reading (backpressure) does not count against the client.
Steady::duration StreamedBody::TimeLeft() const {
  const auto time_at_min_rate = std::chrono::milliseconds(
      read_bytes_ * 1000 / static_cast<std::size_t>(session_.shares().min_body_rate_bytes_per_s));
  return std::max<Steady::duration>(session_.timeouts().body_grace + time_at_min_rate - reading_time_,
                                    std::chrono::milliseconds(1));
}

void StreamedBody::OnRead(const Error& error, std::string_view chunk) {
  reading_ = false;
  reading_time_ += Steady::now() - reading_since_;
  session_.SetDeadline(Steady::time_point::max());
  if (error) return OnError(error);
  Append(chunk);
  Deliver();
  ReadAhead();
}

void StreamedBody::OnError(const Error& error) {
  if (IsParseError(error)) return session_.FailStreamedBody(http::status::bad_request, "malformed");
  session_.FailStreamedBody(std::nullopt, "");
}

// Makes sure that the last block has room. The first one is counted with the buffered part of the body.
bool StreamedBody::ReserveBlock() {
  if (blocks_.empty()) {
    blocks_.emplace_back();
  } else if (RoomInLastBlock() < kMinReadBytes) {
    if (!memory_->ReserveUpTo(kBodyChunkSize, 1 - kMemoryLeftToOthers)) return false;
    reserved_bytes_ += kBodyChunkSize;
    blocks_.emplace_back();
  }
  return true;
}

// A block may be larger than usual: ConfirmClient fills it while another read is in progress.
std::size_t StreamedBody::RoomInLastBlock() const {
  return kBodyChunkSize - std::min(kBodyChunkSize, blocks_.back().size());
}

void StreamedBody::Append(std::string_view chunk) {
  if (blocks_.empty()) blocks_.emplace_back();  // delivered since the read began
  if (blocks_.back().empty()) blocks_.back().reserve(kBodyChunkSize);
  blocks_.back().append(chunk);
  read_bytes_ += chunk.size();
  if (!parser_.is_done()) return;
  complete_ = true;
  if (!arrived_at_) arrived_at_ = Steady::now();
  session_.SetDeadline(Steady::time_point::max());
  session_.OnStreamedBodyRead();
}

void StreamedBody::Read(BodySource::OnBodyChunk on_chunk) {
  on_chunk_ = std::move(on_chunk);
  Deliver();
  ReadAhead();
}

void StreamedBody::Deliver() {
  const bool has_bytes = !blocks_.empty() && !blocks_.front().empty();
  if (!on_chunk_ || (!has_bytes && !complete_)) return;
  std::string block;
  if (!blocks_.empty()) {
    block = std::move(blocks_.front());
    blocks_.pop_front();
  }
  const std::size_t still_reserved = blocks_.size() > 1 ? (blocks_.size() - 1) * kBodyChunkSize : 0;
  memory_->Release(reserved_bytes_ - still_reserved);
  reserved_bytes_ = still_reserved;
  const bool last = complete_ && (blocks_.empty() || blocks_.front().empty());
  std::exchange(on_chunk_, nullptr)(true, block, last);
}

BodySource::OnBodyChunk StreamedBody::Cancel() { return std::exchange(on_chunk_, nullptr); }

bool StreamedBody::ConfirmClient() {
  const auto now = Steady::now();
  for (int reads = 0; reads < kMaxReadsPerTurn && !complete_ && ReserveBlock(); ++reads) {
    const BodyChunk read = TryReadBodyChunk(
        socket_, buffer_, parser_, BodyReadSize(parser_, buffered_bytes_ + read_bytes_, RoomInLastBlock()));
    if (read.error) {
      asio::post(socket_.get_executor(),
                 [self = shared_from_this(), error = read.error, session = session_.shared_from_this()] {
                   if (session->IsAwaitingResponse() && !self->complete_) self->OnError(error);
                 });
      return false;
    }
    if (read.blocked) connected_at_ = now;
    if (read.blocked) break;
    Append(read.chunk);
  }
  if (complete_) return session_.IsClientConnected();
  if (reading_) session_.SetDeadline(reading_since_ + TimeLeft());
  return now - connected_at_ <= kMaxUnconfirmedTime;
}

}  // namespace copperpoint::proxy
