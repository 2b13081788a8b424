// SPDX-License-Identifier: Apache-2.0
//
// The rest of a request body that is too large to be buffered before the request is forwarded: reads it ahead
// of the backend, as far as memory allows.
#ifndef COPPERPOINT_PROXY_DOWNSTREAM_STREAMED_BODY_H_
#define COPPERPOINT_PROXY_DOWNSTREAM_STREAMED_BODY_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "proxy/clock.h"
#include "proxy/http/body_stream.h"
#include "proxy/memory_budget.h"

namespace copperpoint::proxy {

class ClientSession;

// Owned by the RequestReader of a ClientSession, whose socket, buffer and parser it uses. Reads from the
// start of the request on, also while no backend takes the body: a client's disconnect is behind everything
// that it has sent. The end is reported by the session's OnStreamedBodyRead or FailStreamedBody.
class StreamedBody : public std::enable_shared_from_this<StreamedBody> {
 public:
  using Parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

  // @param buffered_bytes of the body that were read before. @param connected_at the latest time at which the
  // client is known to have been connected.
  StreamedBody(ClientSession& session, boost::asio::ip::tcp::socket& socket,
               boost::beast::flat_buffer& buffer, Parser& parser, std::size_t buffered_bytes,
               Steady::time_point connected_at);
  ~StreamedBody();
  StreamedBody(const StreamedBody&) = delete;
  StreamedBody& operator=(const StreamedBody&) = delete;

  // Begins or continues to read, unless the body is read or memory is short.
  void ReadAhead();

  // Passes the next chunk to `on_chunk`, once, as soon as there is one, unless Cancel is called first, which
  // returns it.
  void Read(BodySource::OnBodyChunk on_chunk);
  BodySource::OnBodyChunk Cancel();

  // Reads all that has arrived, as far as memory allows. @return false if the client has disconnected, or may
  // have done so more than kMaxUnconfirmedTime ago behind bytes that are unread.
  bool ConfirmClient();

  // @return whether the last byte has been read from the client.
  bool complete() const { return complete_; }
  // @return when the last byte had arrived, read or not; nullopt if that is not known.
  std::optional<Steady::time_point> arrived_at() const { return arrived_at_; }

  // An attempt may begin for this long after the client has disconnected.
  static constexpr std::chrono::milliseconds kMaxUnconfirmedTime{100};

 private:
  void RecordArrival();
  bool ReserveBlock();
  std::size_t RoomInLastBlock() const;
  void Append(std::string_view chunk);
  void OnRead(const boost::system::error_code& error, std::string_view chunk);
  void OnError(const boost::system::error_code& error);
  void Deliver();
  Steady::duration TimeLeft() const;

  ClientSession& session_;
  boost::asio::ip::tcp::socket& socket_;
  boost::beast::flat_buffer& buffer_;
  Parser& parser_;
  std::shared_ptr<MemoryBudget> memory_;
  std::deque<std::string> blocks_;    // read and not delivered; the last one may be empty
  std::size_t reserved_bytes_ = 0;    // for all blocks but the first
  BodySource::OnBodyChunk on_chunk_;  // of the Read in progress
  bool reading_ = false;
  bool complete_ = false;
  std::size_t buffered_bytes_;  // of the body, read before
  Steady::time_point connected_at_;
  std::optional<Steady::time_point> arrived_at_;
  Steady::time_point reading_since_{};
  Steady::duration reading_time_{};  // in total
  std::size_t read_bytes_ = 0;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_DOWNSTREAM_STREAMED_BODY_H_
