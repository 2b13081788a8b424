// SPDX-License-Identifier: Apache-2.0
//
// One connection to discovery: an optional snapshot of all endpoints, then a watch that streams updates.
#ifndef COPPERPOINT_PROXY_DISCOVERY_ENDPOINT_STREAM_H_
#define COPPERPOINT_PROXY_DISCOVERY_ENDPOINT_STREAM_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "proxy/clock.h"
#include "proxy/discovery/message_framer.h"
#include "proxy/discovery/stream_error.h"

namespace copperpoint::proxy {

// Reads the responses on one connection and reports them to its observer. Owned by shared_ptr: pending socket
// operations keep the stream alive until they complete, also after Detach.
class EndpointStream : public std::enable_shared_from_this<EndpointStream> {
 public:
  class Observer {
   public:
    // Receives a complete message, a snapshot or an update, as JSON text. Returns false if the message cannot
    // be used, which ends the stream. May detach the stream.
    virtual bool OnMessage(EndpointStream& stream, std::string_view message) = 0;
    // Called when the bytes of the watch are not a sequence of messages. OnStreamEnded follows.
    virtual void OnFramingError() = 0;
    // Called at most once; the stream makes no further calls.
    virtual void OnStreamEnded(EndpointStream& stream, const StreamFailure& failure) = 0;
    // Returns the revision from which a watch continues.
    virtual std::uint64_t revision() const = 0;

   protected:
    ~Observer() = default;
  };

  struct Timeouts {
    std::chrono::milliseconds connect;
    std::chrono::milliseconds first_message;  // from the request to the first complete message
    std::chrono::milliseconds idle;           // between complete messages
  };

  // The request that a connection begins with.
  enum class Request { kSnapshot, kWatch };

  EndpointStream(boost::asio::io_context& io, Observer& observer,
                 const boost::asio::ip::tcp::endpoint& address, const Timeouts& timeouts, Request request);

  void Start() { Enter(State::kConnecting); }

  Steady::time_point opened_at() const { return opened_at_; }
  // Returns whether a complete message, or a heartbeat, has arrived.
  bool message_received() const { return message_received_; }

  // Closes the connection without a further call to the observer.
  void Detach();

 private:
  using Error = boost::system::error_code;
  enum class State { kConnecting, kSendingRequest, kReadingHeader, kReadingBody };

  // Begins the one socket operation of `state`.
  void Enter(State state);
  void Connect();
  void SendRequest();
  void ReadHeader();
  void ReadBody();

  void OnHeader();
  void OnBodyComplete();
  void OnBodyError(const Error& error);
  // These three return false once the stream has ended.
  bool OnBody(std::string_view bytes);
  bool OnSnapshotBytes(std::string_view bytes);
  bool OnWatchBytes(std::string_view bytes);
  void OnSnapshotComplete();

  // Only a complete message counts as activity: a trickle of bytes must not hold an idle watch open.
  void RecordActivity();
  void ArmIdleTimeout();
  // Closes the connection and reports the failure. Always returns false, for callers that return it in turn.
  bool End(const StreamFailure& failure);

  Observer* observer_;  // null once detached or ended
  const boost::asio::ip::tcp::endpoint address_;
  const Timeouts timeouts_;
  const Steady::time_point opened_at_ = Steady::now();
  Request request_kind_;
  boost::beast::tcp_stream socket_;
  boost::beast::flat_buffer buffer_;
  boost::beast::http::request<boost::beast::http::empty_body> request_;
  std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> parser_;
  std::array<char, 16384> chunk_;
  std::string snapshot_;  // the part received so far
  MessageFramer framer_;  // of the watch's bytes
  Steady::time_point last_activity_{};
  std::size_t unfinished_bytes_ = 0;  // received since last_activity_
  bool message_received_ = false;     // since the last request
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_DISCOVERY_ENDPOINT_STREAM_H_
