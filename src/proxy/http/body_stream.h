// SPDX-License-Identifier: Apache-2.0
//
// Streaming of bodies that are too large to be buffered completely. The next chunk is read when the last one
// is written, which provides backpressure and limits the memory used.
#ifndef COPPERPOINT_PROXY_HTTP_BODY_STREAM_H_
#define COPPERPOINT_PROXY_HTTP_BODY_STREAM_H_

#include <algorithm>
#include <array>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "proxy/clock.h"

namespace copperpoint::proxy {

// Size in bytes up to which a body is always buffered completely.
inline constexpr std::size_t kMaxBufferedBody = std::size_t{64} * 1024;
// Maximum size in bytes of a body, of requests and responses.
inline constexpr std::size_t kMaxBody = std::size_t{33} * 1024 * 1024;
// Maximum size in bytes of one read of a body, and the size where memory is short.
inline constexpr std::size_t kBodyChunkSize = std::size_t{32} * 1024;
inline constexpr std::size_t kSmallBodyChunkSize = std::size_t{4} * 1024;
// Maximum size in bytes of a chunk's header, or of the trailer.
inline constexpr std::size_t kMaxUnparsedBytes = std::size_t{8} * 1024;

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
  // Reads what has arrived, as far as memory allows. @return false if the sender has disconnected, or may
  // have done so behind bytes that can't be read now; the source reports a disconnect to its owner from the
  // event loop.
  virtual bool ConfirmSender() { return true; }
  // @return when the last byte of the body had arrived from the sender; nullopt if it has not, as far as is
  // known.
  virtual std::optional<Steady::time_point> ArrivedAt() const { return std::nullopt; }
};

// The rest of a request's body on its way to a backend.
struct RequestBodyStream {
  std::shared_ptr<BodySource> source;
  bool consumed = false;  // a chunk has been read, so that the request can't be retried
};

// @return the bytes to write to a connection for `chunk`: in the chunked transfer coding, or unchanged.
std::string EncodeBodyChunk(std::string_view chunk, bool last, bool chunked);

// Buffers that one read uses, and that no connection holds while it waits. One for each event loop's thread.
std::array<char, kBodyChunkSize>& ReadScratch();

// A part of a body. Without an error, `chunk` is empty if `blocked`, or if the body has ended.
struct BodyChunk {
  boost::system::error_code error;
  std::string_view chunk;  // valid until the next read on this thread
  bool blocked = false;    // all that has arrived is read
};

// Reads the next part of the body that `parser` parses, at most `max_bytes`, without waiting. The socket must
// be non-blocking.
template <typename Socket, typename Buffer, typename Parser>
BodyChunk TryReadBodyChunk(Socket& socket, Buffer& buffer, Parser& parser, std::size_t max_bytes) {
  namespace http = boost::beast::http;
  namespace error = boost::asio::error;
  auto& scratch = ReadScratch();
  const std::size_t max_chunk = std::min(max_bytes, scratch.size());
  parser.eager(true);
  for (;;) {
    boost::system::error_code failed;
    if (buffer.size() > 0) {
      auto& body = parser.get().body();
      body.data = scratch.data();
      body.size = max_chunk;
      body.more = true;
      buffer.consume(parser.put(buffer.data(), failed));
      if (failed == http::error::need_buffer || failed == http::error::need_more) failed = {};
      const std::size_t bytes = max_chunk - body.size;
      if (failed || bytes > 0 || parser.is_done()) return {failed, {scratch.data(), bytes}};
      if (buffer.size() > kMaxUnparsedBytes) return {http::error::buffer_overflow, {}};
    }
    const std::size_t room = buffer.size() > 0 ? std::min(max_bytes, kSmallBodyChunkSize) : max_bytes;
    buffer.commit(socket.read_some(buffer.prepare(room), failed));
    if (failed == error::would_block || failed == error::try_again) return {{}, {}, /*blocked=*/true};
    if (failed == error::eof) {
      failed = {};
      parser.put_eof(failed);
      return {failed, {}};
    }
    if (failed && failed != error::interrupted) return {failed, {}};
  }
}

// One read of a body, held by its completion handler: `IsCurrent()` decides whether the owner still wants the
// result, and must be true only while `socket`, `buffer` and `parser` exist; `Done(error, chunk)` gets bytes
// that are valid only during the call.
template <typename Socket, typename Buffer, typename Parser, typename IsCurrent, typename Done>
class BodyChunkRead {
 public:
  BodyChunkRead(Socket& socket, Buffer& buffer, Parser& parser, std::size_t max_bytes, IsCurrent is_current,
                Done done)
      : socket_(&socket),
        buffer_(&buffer),
        parser_(&parser),
        max_bytes_(max_bytes),
        is_current_(std::move(is_current)),
        done_(std::move(done)) {}

  // Never calls `Done` within this call.
  static void Start(BodyChunkRead read) {
    if (read.buffer_->size() == 0) return Wait(std::move(read));
    const auto executor = read.socket_->get_executor();
    boost::asio::post(executor, [read = std::move(read)]() mutable {
      if (read.is_current_()) Read(std::move(read));
    });
  }

 private:
  static void Wait(BodyChunkRead read) {
    read.buffer_->shrink_to_fit();
    Socket& socket = *read.socket_;
    socket.async_wait(Socket::wait_read,
                      [read = std::move(read)](const boost::system::error_code& error) mutable {
                        if (!read.is_current_()) return;
                        if (error) return read.done_(error, std::string_view());
                        Read(std::move(read));
                      });
  }

  static void Read(BodyChunkRead read) {
    const BodyChunk result = TryReadBodyChunk(*read.socket_, *read.buffer_, *read.parser_, read.max_bytes_);
    if (result.blocked) return Wait(std::move(read));
    read.buffer_->shrink_to_fit();
    read.done_(result.error, result.chunk);
  }

  Socket* socket_;
  Buffer* buffer_;
  Parser* parser_;
  std::size_t max_bytes_;
  IsCurrent is_current_;
  Done done_;
};

// Reads the next part of the body that `parser` parses, at most `max_bytes`. The socket must be non-blocking.
// BodyChunkRead describes the other parameters.
template <typename Socket, typename Buffer, typename Parser, typename IsCurrent, typename Done>
void ReadBodyChunk(Socket& socket, Buffer& buffer, Parser& parser, std::size_t max_bytes,
                   IsCurrent is_current, Done done) {
  using Read = BodyChunkRead<Socket, Buffer, Parser, IsCurrent, Done>;
  Read::Start(Read(socket, buffer, parser, max_bytes, std::move(is_current), std::move(done)));
}

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_HTTP_BODY_STREAM_H_
