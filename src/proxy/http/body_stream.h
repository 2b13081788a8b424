// SPDX-License-Identifier: Apache-2.0
//
// The rest of a body that is too large to be held whole, passed on a piece at a time. The next piece is asked
// for once the last one is written: that is all the back-pressure there is, and all that is ever held.
#ifndef COPPERPOINT_PROXY_HTTP_BODY_STREAM_H_
#define COPPERPOINT_PROXY_HTTP_BODY_STREAM_H_

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace copperpoint::proxy {

inline constexpr std::size_t kMaxBufferedBody = 64 * 1024;  // of a body that is held whole
inline constexpr std::size_t kMaxBody = 33 * 1024 * 1024;   // of any body, either way
inline constexpr std::size_t kBodyChunkSize = 32 * 1024;

class BodySource {
 public:
  // `whole` is false if the body broke off; `last` if nothing follows. The piece lasts for the call.
  using OnBodyChunk = std::function<void(bool whole, std::string_view piece, bool last)>;
  virtual ~BodySource() = default;
  // One at a time. `on_piece` is called once, never from within this call; not at all if the reader has gone.
  virtual void Read(OnBodyChunk on_piece) = 0;
};

// The rest of a request's body on its way to a backend.
struct RequestBodyStream {
  std::shared_ptr<BodySource> source;
  bool consumed = false;  // some of it has left, so that the request can't be sent again
};

// As it is written, in a chunk if the message is chunked.
inline std::string EncodeBodyChunk(std::string_view piece, bool last, bool chunked) {
  if (!chunked) return std::string(piece);
  std::string text;
  if (!piece.empty()) {
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
    text.append(size).append(piece).append("\r\n");
  }
  if (last) text += "0\r\n\r\n";
  return text;
}

// Reads what comes next of the body that `parser` is at. `done(error, n)`: n bytes are in `piece`.
template <typename Socket, typename Buffer, typename Parser, typename Done>
void ReadBodyChunk(Socket& socket, Buffer& buffer, Parser& parser, std::vector<char>& piece, Done done) {
  namespace http = boost::beast::http;
  piece.resize(kBodyChunkSize);
  parser.get().body().data = piece.data();
  parser.get().body().size = piece.size();
  parser.get().body().more = true;
  http::async_read_some(
      socket, buffer, parser,
      [&parser, &piece, done = std::move(done)](boost::system::error_code failed, std::size_t) mutable {
        if (failed == http::error::need_buffer) failed = {};
        // A reader that has gone has taken its parser with it: only an answer that still counts may look.
        done(failed, [&parser, &piece] { return piece.size() - parser.get().body().size; });
      });
}

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_HTTP_BODY_STREAM_H_
