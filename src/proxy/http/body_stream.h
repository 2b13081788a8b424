// SPDX-License-Identifier: Apache-2.0
//
// Streaming of bodies that are too large to be buffered completely. The next chunk is read when the last one
// is written, which provides backpressure and limits the memory used.
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

// Size in bytes up to which a body is always buffered completely.
inline constexpr std::size_t kMaxBufferedBody = std::size_t{64} * 1024;
// Maximum size in bytes of a body, of requests and responses.
inline constexpr std::size_t kMaxBody = std::size_t{33} * 1024 * 1024;
// Maximum size in bytes of one read of a body.
inline constexpr std::size_t kBodyChunkSize = std::size_t{32} * 1024;

// The rest of a body, read chunk by chunk.
class BodySource {
 public:
  // `complete` is false if the body ended early; `last` is true if no chunk follows. `chunk` is valid only
  // during the call.
  using OnBodyChunk = std::function<void(bool complete, std::string_view chunk, bool last)>;
  virtual ~BodySource() = default;
  // Reads the next chunk; must not be called before the last one was delivered. `on_chunk` is called once,
  // never within this call, and not at all if the source is released first.
  virtual void Read(OnBodyChunk on_chunk) = 0;
};

// The rest of a request's body on its way to a backend.
struct RequestBodyStream {
  std::shared_ptr<BodySource> source;
  bool consumed = false;  // a chunk has been read, so that the request can't be retried
};

// @return the bytes to write to a connection for `chunk`: in the chunked transfer coding, or unchanged.
std::string EncodeBodyChunk(std::string_view chunk, bool last, bool chunked);

// Reads the next part of the body that `parser` parses into `chunk`. Calls `done(error, bytes_read)`, where
// `bytes_read` is a function that may be called only while `parser` and `chunk` exist.
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
