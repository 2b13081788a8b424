// SPDX-License-Identifier: Apache-2.0
//
// Reads a backend's response: header, body up to the buffered limit, and the streamed rest of a larger body.
#ifndef COPPERPOINT_PROXY_UPSTREAM_RESPONSE_READER_H_
#define COPPERPOINT_PROXY_UPSTREAM_RESPONSE_READER_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>
#include <string>
#include <vector>

#include "proxy/http/body_stream.h"
#include "proxy/http/messages.h"

namespace copperpoint::proxy {

class BackendConnection;

// Owned by a BackendConnection, which also owns the socket. Each read ends in one of the connection's
// OnResponse, OnStreamedResponse and FailResponse.
class ResponseReader {
 public:
  ResponseReader(BackendConnection& connection, boost::asio::ip::tcp::socket& socket);

  // Prepares for a new response; must be called before the request is written.
  void Reset();
  // Reads a response; called when its first bytes have arrived.
  void Read();

  // Reads the next chunk of a streamed body. `on_chunk` is called once, unless CancelStreamedBody is called
  // first, which returns it.
  void ReadStreamedBody(BodySource::OnBodyChunk on_chunk);
  BodySource::OnBodyChunk CancelStreamedBody();

  // @return whether the response is completely read and leaves the connection usable for another request.
  bool allows_reuse() const;

  // Frees all buffers.
  void Clear();

 private:
  void OnHeader();
  bool IsFramingAcceptable() const;
  void ReadBody();
  void StartStream();

  BackendConnection& connection_;
  boost::asio::ip::tcp::socket& socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> parser_;
  std::string body_;                  // the buffered part of the body
  std::vector<char> chunk_;           // target of the read in progress
  BodySource::OnBodyChunk on_chunk_;  // callback of the streamed read in progress
  int informational_responses_ = 0;   // 1xx responses received before the final one
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_UPSTREAM_RESPONSE_READER_H_
