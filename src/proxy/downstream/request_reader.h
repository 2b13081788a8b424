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
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "proxy/clock.h"
#include "proxy/downstream/arrival_times.h"
#include "proxy/http/body_stream.h"
#include "proxy/http/messages.h"

namespace copperpoint::proxy {

class ClientSession;

// Part of a ClientSession, which owns it and the socket, and decides by its state whether a completed read
// still counts. Results come as the session's callbacks OnRequestRead, OnInvalidRequest and Close.
class RequestReader {
 public:
  RequestReader(ClientSession& session, boost::asio::ip::tcp::socket& socket);

  // Ends work on the last request. True if bytes of the next are buffered already; otherwise an idle
  // connection's buffer memory is freed.
  bool PrepareForNextRequest();

  // Reads a request up to the point where it can be forwarded; one of the session's callbacks follows.
  void ReadRequest();

  // The request that has been read. A body that is not complete goes on with ReadStreamedBody; then
  // Content-Length or chunked framing of the rest is set by SetStreamedFraming.
  HttpRequest TakeRequest();
  void SetStreamedFraming(HttpRequest& message) const;

  // When the last byte of the request that has been read arrived; `now` if it arrived just now.
  Steady::time_point ArrivalTime(Steady::time_point now);

  // Reads the next piece of a streamed body. `on_chunk` is called once, unless CancelStreamedBody comes
  // first.
  void ReadStreamedBody(BodySource::OnBodyChunk on_chunk);
  BodySource::OnBodyChunk CancelStreamedBody();

  // Reads, without waiting, what the client has sent so far, as it arrived at `at`. A client that disconnects
  // shows it only behind that. False if it has disconnected. With `may_discard`, bytes beyond the read-ahead
  // limit are dropped, and the connection has to close after its response; without, reading ends there.
  bool ReadAhead(Steady::time_point at, bool may_discard = true);

  void ReleaseMemory();

  bool has_buffered_bytes() const { return buffer_.size() > 0; }
  bool header_complete() const { return parser_->is_header_done(); }
  bool body_streaming() const { return body_streaming_; }
  bool read_ahead_overflowed() const { return read_ahead_overflowed_; }

 private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

  void OnHeader();
  void SendContinue();
  void ReadBufferedBody();
  bool ExtendBodyBuffer();
  void OnReadError(const boost::system::error_code& error);
  void OnStreamedBodyError(const boost::system::error_code& error);
  Steady::duration TimeAtMinRate(std::size_t bytes) const;

  ClientSession& session_;
  boost::asio::ip::tcp::socket& socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  ArrivalTimes arrivals_;               // of the bytes in buffer_ that were read ahead
  std::size_t request_bytes_ = 0;       // header and declared body length of the request being read
  bool arrived_before_read_ = false;    // all of these were buffered when reading began
  bool read_ahead_overflowed_ = false;  // bytes behind an open request have been dropped
  std::string body_;                    // the buffered part of the body
  std::size_t body_limit_bytes_ = 0;    // up to which the body is buffered for now
  std::size_t reserved_bytes_ = 0;      // of the session's memory budget
  Steady::time_point body_started_{};   // when reading the body began
  std::vector<char> chunk_;             // target of the read in progress
  bool body_streaming_ = false;         // part of the body is still to come
  BodySource::OnBodyChunk on_chunk_;    // of the streamed read in progress
  std::size_t streamed_bytes_ = 0;
  Steady::duration streaming_time_{};  // spent in reads of the streamed body
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_DOWNSTREAM_REQUEST_READER_H_
