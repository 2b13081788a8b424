// SPDX-License-Identifier: Apache-2.0
//
// One connection to a backend: establishes it, sends the request of an attempt and reads the response, within
// the time limits of connection_state.h.
#ifndef COPPERPOINT_PROXY_UPSTREAM_BACKEND_CONNECTION_H_
#define COPPERPOINT_PROXY_UPSTREAM_BACKEND_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>

#include "copperpoint/balancer.h"
#include "proxy/clock.h"
#include "proxy/config/config.h"
#include "proxy/upstream/attempt.h"
#include "proxy/upstream/connection_state.h"
#include "proxy/upstream/request_writer.h"
#include "proxy/upstream/response_reader.h"

namespace copperpoint::proxy {

class BackendPool;

// Owns the socket, the attempt in progress, the request writer, the response reader and the connection's
// state (connection_state.h). Owned by the pool while idle, by its completion handlers while an attempt is in
// progress, and by the ResponseBodyStream of a streamed response. A closed connection is never reused, so
// that a response that arrives after its attempt's timeout is discarded.
class BackendConnection final : public std::enable_shared_from_this<BackendConnection> {
 public:
  BackendConnection(BackendPool& pool, BackendId backend, std::uint64_t generation);

  BackendId backend() const { return backend_; }
  // @return the number of endpoint changes of the backend that preceded the opening of this connection.
  std::uint64_t generation() const { return generation_; }
  Steady::time_point idle_since() const { return idle_since_; }

  // Assigns an attempt to the connection; Connect, Reuse or FailSoon must be called next.
  void Assign(Attempt&& attempt);
  void Connect(const boost::asio::ip::tcp::endpoint& address, Duration timeout);
  void Reuse();
  // Enters the idle state. The connection is closed if no attempt is assigned within `timeout`.
  void StartIdle(Duration timeout);

  // Ends the attempt as kNotSent if the last byte of its request is not written, so that it cannot have run.
  // An attempt whose request body is partly consumed continues, because it could not be retried.
  void CancelUnsent();

  // @return whether the connection is open and has no bytes to read. A request written to a connection that
  // the backend has closed would be reset and count as possibly run; earlier bytes are no response to it.
  bool IsQuiescent();

  void Close();
  // Closes without reporting a result, because the pool is being destroyed.
  void Detach();

  // @return the number of the attempt among those of this connection.
  std::uint64_t attempt_id() const { return attempt_id_; }
  const Attempt& attempt() const { return attempt_; }
  // @return whether the attempt is still in progress. Every completion handler checks this first.
  bool IsCurrent(std::uint64_t attempt_id) const {
    return attempt_.in_progress() && attempt_id == attempt_id_ && !attempt_.completing;
  }

  // Ends the attempt with `result`. The connection returns to the pool if `reusable`, and is closed
  // otherwise.
  void Complete(AttemptResult&& result, bool reusable);
  // Ends the attempt without a response and closes the connection.
  void Fail(AttemptOutcome outcome, bool local_failure = false);
  // Posts Fail to the event loop. No other event completes the attempt before it.
  void FailSoon(AttemptOutcome outcome, bool local_failure = false);

  // Callbacks of RequestWriter and ResponseReader.
  void OnRequestWritten();
  void OnResponse(HttpResponse&& response, bool reusable);
  void OnStreamedResponse(HttpResponse&& response, std::optional<std::uint64_t> body_length);
  void FailResponse() { Fail(AttemptOutcome::kConnectionReset); }

  // Used by RequestWriter and ResponseReader.
  void SetTimer(Steady::time_point at);
  // Limits the time until the next read of a response, within the attempt's timeout, and while the body of
  // unknown length is buffered, within its own limit.
  void RestartResponseTimer(Steady::duration stall);
  // Leaves the attempt's timeout as the only limit.
  void RestartAttemptTimer() { SetTimer(attempt_.deadline); }
  // Limits the time in which the backend takes a chunk of an upload.
  void RestartUploadTimer();
  // Limits the time until the next read of a streamed response. @param may_be_small as ResponseReader's.
  void RestartStreamTimer(bool may_be_small);
  // The header of the final response has been read.
  void OnBodyStarted();
  const Timeouts& timeouts() const;
  bool closed() const { return state_ == ConnectionState::kClosed; }
  bool streaming() const { return state_ == ConnectionState::kStreamingResponse; }

 private:
  class ResponseBodyStream;

  void EnterState(ConnectionState state);
  void WriteRequest();
  // @return until when the request may be written.
  Steady::time_point WriteBy() const;
  // @return when the response to an upload is due whose last byte had arrived at `arrived_at`.
  Steady::time_point UploadDue(Steady::time_point arrived_at) const;
  void LogRequestWritten() const;
  void OnTimer();
  ExpiredLimit LimitReached() const;
  void EndStream();
  void Clear();

  BackendPool* pool_;  // null once detached
  BackendId backend_;
  std::uint64_t generation_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  RequestWriter writer_;
  ResponseReader reader_;
  ConnectionState state_ = ConnectionState::kConnecting;
  std::uint64_t attempt_id_ = 0;
  Steady::time_point buffering_until_{};  // latest end of buffering a response of unknown length
  Attempt attempt_;
  Steady::time_point idle_since_{};
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_UPSTREAM_BACKEND_CONNECTION_H_
