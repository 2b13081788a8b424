// SPDX-License-Identifier: Apache-2.0
//
// Reads a backend's response: header, body up to the buffered limit, and the streamed rest of a larger body.
#ifndef COPPERPOINT_PROXY_UPSTREAM_RESPONSE_READER_H_
#define COPPERPOINT_PROXY_UPSTREAM_RESPONSE_READER_H_

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

#include "proxy/http/body_stream.h"
#include "proxy/http/messages.h"
#include "proxy/memory_budget.h"

namespace copperpoint::proxy {

class BackendConnection;

// Owned by a BackendConnection, which also owns the socket. Each read ends in one of the connection's
// OnResponse, OnStreamedResponse and FailResponse.
class ResponseReader {
 public:
  ResponseReader(BackendConnection& connection, boost::asio::ip::tcp::socket& socket,
                 std::shared_ptr<MemoryBudget> memory);

  // Prepares for a new response; must be called before the request is written.
  void Reset();
  // Reads a response; called when its first bytes have arrived.
  void Read();

  // @return whether the body of a 200 response is being buffered whose length is not known. It may be one
  // that is too large to be buffered, and is streamed rather than failed when a time limit of the buffering
  // expires.
  bool buffers_unknown_length() const { return buffers_unknown_length_; }
  // Streams the response from here on, instead of buffering more of it. Requires buffers_unknown_length().
  void StopBuffering();

  // Reads the next chunk of a streamed body. `on_chunk` is called once, unless CancelStreamedBody is called
  // first, which returns it.
  void ReadStreamedBody(BodySource::OnBodyChunk on_chunk);
  BodySource::OnBodyChunk CancelStreamedBody();

  // @return whether the length of the streamed body is unknown, and no more than a buffered one's has
  // arrived.
  bool may_be_small() const { return !parser_->content_length() && body_bytes_ <= kMaxBufferedBody; }

  // @return whether the response is completely read and leaves the connection usable for another request.
  bool allows_reuse() const;

  // Frees all buffers.
  void Clear();

 private:
  void ParseHeader();
  void AwaitHeaderBytes();
  boost::system::error_code ReceiveHeaderBytes();
  void OnHeader();
  bool IsFramingAcceptable() const;
  void ReadBody();
  void OnBodyChunk(const boost::system::error_code& error, std::string_view chunk);
  std::size_t ReserveChunk();
  void StartStream();

  BackendConnection& connection_;
  boost::asio::ip::tcp::socket& socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> parser_;
  std::string body_;                  // the buffered part of the body
  MemoryReservation memory_;          // for body_, or for a streamed chunk until the next one is read
  BodySource::OnBodyChunk on_chunk_;  // callback of the streamed read in progress
  int informational_responses_ = 0;   // 1xx responses received before the final one
  std::size_t body_bytes_ = 0;        // of the body, received so far
  bool buffers_unknown_length_ = false;
  bool stops_buffering_ = false;  // StopBuffering was called
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_UPSTREAM_RESPONSE_READER_H_
