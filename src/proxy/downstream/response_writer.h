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
#include <utility>

#include "proxy/http/body_stream.h"
#include "proxy/http/messages.h"
#include "proxy/memory_budget.h"

namespace copperpoint::proxy {

class ClientSession;

// Owned by a ClientSession, which also owns the socket, and whose state decides whether a completed write is
// still relevant. Each response ends in one of the session's OnResponseWritten, AbortResponse and Close.
class ResponseWriter {
 public:
  ResponseWriter(ClientSession& session, boost::asio::ip::tcp::socket& socket,
                 std::shared_ptr<MemoryBudget> memory)
      : session_(session), socket_(socket), memory_(std::move(memory)) {}

  void Write(HttpResponse&& response, bool keep_alive);

  // Writes `response` and then the chunks of `body_stream`, one at a time: the next chunk is read when the
  // last one is written (backpressure).
  struct StreamOptions {
    bool keep_alive = false;
    std::optional<std::uint64_t> body_length;  // length of the whole body in bytes, if known
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
  HttpResponse response_;                    // response being written in one piece
  std::string chunk_;                        // chunk of a stream being written
  MemoryReservation memory_;                 // for what is being written
  std::shared_ptr<BodySource> body_stream_;  // null except while streaming
  bool chunked_ = false;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_DOWNSTREAM_RESPONSE_WRITER_H_
