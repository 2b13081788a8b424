// SPDX-License-Identifier: Apache-2.0
//
// Reads the requests of one client connection: header, body up to the buffered limit, the streamed rest of a
// larger body, and bytes that arrive ahead of the next request.
#ifndef COPPERPOINT_PROXY_DOWNSTREAM_REQUEST_READER_H_
#define COPPERPOINT_PROXY_DOWNSTREAM_REQUEST_READER_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "proxy/clock.h"
#include "proxy/downstream/arrival_times.h"
#include "proxy/downstream/streamed_body.h"
#include "proxy/http/body_stream.h"
#include "proxy/http/header_line_counter.h"
#include "proxy/http/messages.h"
#include "proxy/memory_budget.h"

namespace copperpoint::proxy {

class ClientSession;

// Owned by a ClientSession, which also owns the socket, and whose state decides whether a completed read is
// still relevant. Results are reported by the session's OnRequestRead, OnInvalidRequest and Close.
class RequestReader {
 public:
  RequestReader(ClientSession& session, boost::asio::ip::tcp::socket& socket,
                const std::shared_ptr<MemoryBudget>& buffer_memory);

  // Releases the state of the last request. @return true if bytes of the next one are already buffered;
  // otherwise the buffer's memory is freed, since the connection is idle.
  bool PrepareForNextRequest();

  // Reads a request until it can be forwarded, and then calls one of the session's callbacks.
  void ReadRequest();

  // @param connected_at the latest time at which the client is known to have been connected.
  // @return the request that has been read. The rest of an incomplete body is read by streamed_body(), and
  // SetStreamedFraming then sets the Content-Length or chunked framing of the forwarded request.
  HttpRequest TakeRequest(Steady::time_point connected_at);
  void SetStreamedFraming(HttpRequest& message) const;

  // @return when the last byte of the request that has been read arrived; `now` if it did not arrive earlier.
  Steady::time_point ArrivalTime(Steady::time_point now);

  // The rest of a body that is forwarded before it is read; null if there is none.
  StreamedBody* streamed_body() const { return streamed_body_.get(); }
  BodySource::OnBodyChunk CancelStreamedBody() { return streamed_body_ ? streamed_body_->Cancel() : nullptr; }

  // Reads, without waiting, the bytes that the client has sent, and records `at` as their arrival time. A
  // disconnect can be detected only after these bytes. @return false if the client has disconnected. With
  // `may_discard`, bytes beyond the read-ahead limit are dropped, and the connection must close after its
  // response; otherwise reading stops at the limit.
  bool ReadAhead(Steady::time_point at, bool may_discard = true);

  // Releases what is in memory of a request that is not forwarded, and of the bytes behind it.
  void DropRequest();
  void ReleaseMemory();

  bool has_buffered_bytes() const { return buffer_.size() > 0; }
  bool header_complete() const { return parser_->is_header_done(); }
  // @return whether a part of the body is still to be read from the client.
  bool body_streaming() const { return streamed_body_ && !streamed_body_->complete(); }
  bool read_ahead_overflowed() const { return read_ahead_overflowed_; }

 private:
  using Parser = StreamedBody::Parser;

  void ParseHeader();
  void AwaitHeaderBytes();
  void ReceiveHeaderBytes();
  void OnHeader(std::size_t header_bytes);
  void RejectForMemory();
  void SendContinue();
  void ReadBufferedBody();
  void OnBodyChunk(const boost::system::error_code& error, std::string_view chunk);
  bool ExtendBodyBuffer();
  // Keeps `bytes` more in buffer_. @return false if memory does not allow it.
  bool ReserveInput(std::size_t bytes);
  void AppendInput(std::size_t bytes);
  bool ReadAvailable(Steady::time_point at, bool may_discard);
  std::size_t ReadAheadRoom();
  void OnReadError(const boost::system::error_code& error);
  Steady::duration TimeAtMinRate(std::size_t bytes) const;

  ClientSession& session_;
  boost::asio::ip::tcp::socket& socket_;
  boost::beast::flat_buffer buffer_;  // received and not parsed
  MemoryReservation input_memory_;    // for buffer_
  MemoryReservation header_memory_;   // for the header of the request, parsed and forwarded
  std::optional<Parser> parser_;
  ArrivalTimes arrivals_;  // arrival times of the read-ahead bytes in buffer_
  HeaderLineCounter header_lines_;
  std::size_t buffered_before_read_ = 0;  // size of buffer_ when reading began
  std::size_t request_bytes_ = 0;         // length of the header and Content-Length of the request being read
  bool arrived_before_read_ = false;      // all request_bytes_ were buffered when reading began
  bool read_ahead_overflowed_ = false;    // bytes received after an open request were dropped
  std::string body_;                      // the buffered part of the body
  std::size_t body_limit_bytes_ = 0;      // current limit of the buffered part
  std::size_t reserved_bytes_ = 0;        // reserved in the session's memory budget
  Steady::time_point body_started_{};     // when reading the body began
  std::shared_ptr<StreamedBody> streamed_body_;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_DOWNSTREAM_REQUEST_READER_H_
