// SPDX-License-Identifier: Apache-2.0
#include "proxy/upstream/request_writer.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <chrono>
#include <string_view>
#include <utility>

#include "proxy/upstream/backend_connection.h"

namespace copperpoint::proxy {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

constexpr char kDeadlineField[] = "Req-Deadline-Ms";
constexpr std::size_t kTypicalHeaderBytes = 512;

}  // namespace

// The request's header as received, except for the deadline field: it gives the time left now, since
// connecting may have used part of it.
std::string RequestWriter::Header(Steady::duration time_left) const {
  const HttpRequest& request = *connection_.attempt().request;
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(time_left).count();
  const auto method = request.method_string(), target = request.target();
  std::string header;
  header.reserve(kTypicalHeaderBytes);
  header.append(method.data(), method.size()).append(1, ' ');
  header.append(target.data(), target.size()).append(" HTTP/1.1\r\n");
  for (const auto& field : request) {
    const auto name = field.name_string(), value = field.value();
    if (boost::beast::iequals(name, kDeadlineField)) continue;
    header.append(name.data(), name.size()).append(": ");
    header.append(value.data(), value.size()).append("\r\n");
  }
  header.append(kDeadlineField).append(": ").append(std::to_string(std::max<long long>(ms, 1)));
  return header.append("\r\n\r\n");
}

void RequestWriter::Write() {
  const Attempt& attempt = connection_.attempt();
  const auto time_left = attempt.deadline - Steady::now();
  if (time_left <= Steady::duration(0)) return connection_.FailSoon(AttemptOutcome::kNotSent);
  if (attempt.upload) {
    if (!attempt.upload->source->ConfirmSender())
      return connection_.FailSoon(AttemptOutcome::kNotSent, /*local_failure=*/true);
    const HttpRequest& request = *attempt.request;
    return WriteChunk(Header(attempt.timeout) + EncodeBodyChunk(request.body(), false, request.chunked()),
                      false);
  }
  buffer_ = Header(time_left);
  position_ = 0;
  Flush(/*last=*/true);
}

// Until the last byte is written, ClientSession limits the time of the client, and the timer of each chunk
// that of the backend.
void RequestWriter::WriteChunk(std::string bytes, bool last) {
  buffer_ = std::move(bytes);
  position_ = 0;
  connection_.RestartUploadTimer();
  Flush(last);
}

// Writes synchronously, so that the last byte counts as written as soon as the kernel has it. With a
// completion handler, a timer or a reset could be handled first, and an attempt that the backend has received
// completely would be classified as one that never ran.
void RequestWriter::Flush(bool last) {
  const Attempt& attempt = connection_.attempt();
  const auto body = attempt.upload ? asio::const_buffer() : asio::buffer(attempt.request->body());
  const std::size_t size = buffer_.size() + body.size();
  while (position_ < size) {
    // Checked before each write, as the connection or the room for the rest may have come late.
    if (!attempt.MayBeWritten(Steady::now())) return connection_.FailSoon(AttemptOutcome::kNotSent);
    const std::size_t in_buffer = std::min(position_, buffer_.size());
    const std::array<asio::const_buffer, 2> rest{asio::buffer(buffer_) + in_buffer,
                                                 body + (position_ - in_buffer)};
    Error error;
    position_ += socket_.write_some(rest, error);
    if (error == asio::error::would_block || error == asio::error::try_again) {
      socket_.async_wait(Tcp::socket::wait_write, [this, connection = connection_.shared_from_this(),
                                                   id = connection_.attempt_id(), last](const Error& error) {
        if (!connection->IsCurrent(id)) return;
        error ? connection->Fail(AttemptOutcome::kConnectFailure) : Flush(last);
      });
      return;
    }
    if (error && error != asio::error::interrupted)
      return connection_.FailSoon(AttemptOutcome::kConnectFailure);
  }
  last ? connection_.OnRequestWritten() : ReadUpload();
}

void RequestWriter::ReadUpload() {
  RequestBodyStream& upload = *connection_.attempt().upload;
  upload.consumed = true;
  connection_.SetTimer(Steady::time_point::max());
  upload.source->Read([this, connection = connection_.shared_from_this(), id = connection_.attempt_id()](
                          bool complete, std::string_view chunk, bool last) {
    if (!connection->IsCurrent(id)) return;
    // The client did not send its complete body, so that the request cannot have run.
    if (!complete) return connection->Fail(AttemptOutcome::kNotSent);
    WriteChunk(EncodeBodyChunk(chunk, last, connection->attempt().request->chunked()), last);
  });
}

}  // namespace copperpoint::proxy
