// SPDX-License-Identifier: Apache-2.0
//
// Bodies that are too large to be buffered completely, and are forwarded in chunks. The next chunk is read
// once the last one is written: that is the backpressure, and the bound on memory.
#ifndef COPPERPOINT_PROXY_HTTP_BODY_STREAM_H_
#define COPPERPOINT_PROXY_HTTP_BODY_STREAM_H_

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace copperpoint::proxy {

// Bytes up to which a body is always buffered completely.
inline constexpr std::size_t kMaxBufferedBody = std::size_t{64} * 1024;
// Bytes of any body, of requests and responses.
inline constexpr std::size_t kMaxBody = std::size_t{33} * 1024 * 1024;
// Bytes of one read of a body.
inline constexpr std::size_t kBodyChunkSize = std::size_t{32} * 1024;

// The rest of a body, read chunk by chunk.
class BodySource {
 public:
  // `complete` is false if the body ended early; `last` is true if nothing follows. `chunk` is valid during
  // the call only.
  using OnBodyChunk = std::function<void(bool complete, std::string_view chunk, bool last)>;
  virtual ~BodySource() = default;
  // Reads the next chunk; not before the last one was delivered. `on_chunk` is called once, never from within
  // this call; not at all if the source is released before.
  virtual void Read(OnBodyChunk on_chunk) = 0;
};

// The rest of a request's body on its way to a backend.
struct RequestBodyStream {
  std::shared_ptr<BodySource> source;
  bool consumed = false;  // a chunk has been read, so that the request can't be retried
};

// The chunk as it is written to a connection: with the chunked transfer coding, or as it is.
std::string EncodeBodyChunk(std::string_view chunk, bool last, bool chunked);

// Reads the next part of the body that `parser` is at into `chunk`. Calls `done(error, bytes_read)`, where
// `bytes_read` is a function and may be called only while the parser and the chunk still exist.
template <typename Socket, typename Buffer, typename Parser, typename Done>
void ReadBodyChunk(Socket& socket, Buffer& buffer, Parser& parser, std::vector<char>& chunk, Done done) {
  namespace http = boost::beast::http;
  chunk.resize(kBodyChunkSize);
  parser.get().body().data = chunk.data();
  parser.get().body().size = chunk.size();
  parser.get().body().more = true;
  http::async_read_some(
      socket, buffer, parser,
      [&parser, &chunk, done = std::move(done)](boost::system::error_code error, std::size_t) mutable {
        if (error == http::error::need_buffer) error = {};
        done(error, [&parser, &chunk] { return chunk.size() - parser.get().body().size; });
      });
}

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_HTTP_BODY_STREAM_H_
