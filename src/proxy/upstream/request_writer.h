// SPDX-License-Identifier: Apache-2.0
//
// Writes an attempt's request to a backend connection, in one piece or as a stream of body chunks.
#ifndef COPPERPOINT_PROXY_UPSTREAM_REQUEST_WRITER_H_
#define COPPERPOINT_PROXY_UPSTREAM_REQUEST_WRITER_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <string>

#include "proxy/clock.h"

namespace copperpoint::proxy {

class BackendConnection;

// Owned by a BackendConnection, which also owns the socket and the attempt. Each write ends in one of the
// connection's OnRequestWritten, Fail and FailSoon.
class RequestWriter {
 public:
  RequestWriter(BackendConnection& connection, boost::asio::ip::tcp::socket& socket)
      : connection_(connection), socket_(socket) {}

  // Writes the request of the connection's attempt.
  void Write();

  // Frees the buffer.
  void Clear() { buffer_ = {}; }

 private:
  std::string Header(Steady::duration time_left) const;
  void WriteChunk(std::string bytes, bool last);
  void Flush(bool last);
  void ReadUpload();

  BackendConnection& connection_;
  boost::asio::ip::tcp::socket& socket_;
  std::string buffer_;        // header, or header and chunk, being written
  std::size_t position_ = 0;  // bytes of buffer_ and the body after it that the kernel has taken
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_UPSTREAM_REQUEST_WRITER_H_
