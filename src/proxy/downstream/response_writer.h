// SPDX-License-Identifier: Apache-2.0
//
// Writes responses to one client connection, in one piece or as a stream of body chunks.
#ifndef COPPERPOINT_PROXY_DOWNSTREAM_RESPONSE_WRITER_H_
#define COPPERPOINT_PROXY_DOWNSTREAM_RESPONSE_WRITER_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "proxy/http/body_stream.h"
#include "proxy/http/framing.h"

namespace copperpoint::proxy {

class ClientSession;

// Part of a ClientSession, which owns it and the socket, and decides by its state whether a completed write
// still counts. Ends with one of the session's callbacks OnResponseWritten, AbortResponse and Close.
class ResponseWriter {
 public:
  ResponseWriter(ClientSession& session, boost::asio::ip::tcp::socket& socket)
      : session_(session), socket_(socket) {}

  void Write(HttpResponse&& response, bool keep_alive);

  // Writes `response` and then what `body_stream` yields, one chunk at a time: the next is read once the last
  // is written (backpressure).
  struct StreamOptions {
    bool keep_alive = false;
    std::optional<std::uint64_t> body_length;  // bytes of the whole body, if known
    bool chunked = false;                      // chunked transfer coding
  };
  void WriteStream(HttpResponse response, std::shared_ptr<BodySource> body_stream,
                   const StreamOptions& options);

  // Releases the source of the stream in progress.
  void CancelStream() { body_stream_.reset(); }

 private:
  void WriteChunk(std::string bytes, bool last);
  void ReadNextChunk();

  ClientSession& session_;
  boost::asio::ip::tcp::socket& socket_;
  HttpResponse response_;                    // being written in one piece
  std::string chunk_;                        // of a stream, being written
  std::shared_ptr<BodySource> body_stream_;  // null but while streaming
  bool chunked_ = false;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_DOWNSTREAM_RESPONSE_WRITER_H_
