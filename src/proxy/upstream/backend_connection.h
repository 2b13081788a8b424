// SPDX-License-Identifier: Apache-2.0
//
// One connection to a backend, with the attempt on it, if any: its state machine and time limits.
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

// Owns the socket, the attempt, the writer of requests and the reader of responses, and the state
// (connection_state.h). Owned by the pool while idle, by its completion handlers while an attempt is in
// progress, and by the ResponseBodyStream of a streamed response. Once closed it is never used again, so that
// a response which comes after its attempt's timeout reaches nobody.
class BackendConnection final : public std::enable_shared_from_this<BackendConnection> {
 public:
  BackendConnection(BackendPool& pool, BackendId backend, std::uint64_t generation);

  BackendId backend() const { return backend_; }
  // The pool's count of endpoint changes of the backend when this was opened.
  std::uint64_t generation() const { return generation_; }
  Steady::time_point idle_since() const { return idle_since_; }

  // Gives it an attempt; Connect, Reuse or FailSoon has to follow.
  void Assign(Attempt&& attempt);
  void Connect(const boost::asio::ip::tcp::endpoint& address, Duration timeout);
  void Reuse();
  // Waits for the next attempt, at most for `timeout`.
  void StartIdle(Duration timeout);

  // Ends an attempt that can't have run, as the backend has not received its last byte. One whose body has
  // partly been consumed goes on, as it can't be retried.
  void CancelUnsent();

  // Open, with nothing to read. A connection that the backend has closed in the meantime would be reset after
  // the request may have run; bytes that came before the request are no response to it.
  bool IsQuiescent();

  void Close();
  // The pool is being destroyed: nothing is reported any more.
  void Detach();

  // Identifies the attempt among those of this connection.
  std::uint64_t attempt_id() const { return attempt_id_; }
  const Attempt& attempt() const { return attempt_; }
  // What every completion handler checks first: whether its attempt is still in progress.
  bool IsCurrent(std::uint64_t attempt_id) const {
    return attempt_.in_progress() && attempt_id == attempt_id_ && !attempt_.completing;
  }

  // Ends the attempt with this result.
  void Complete(AttemptResult&& result, bool reusable);
  // Ends it without a response.
  void Fail(AttemptOutcome outcome, bool local_failure = false);
  // The same from the event loop. No other completion comes before it.
  void FailSoon(AttemptOutcome outcome, bool local_failure = false);

  // Callbacks of the writer and reader.
  void OnRequestWritten();
  void OnResponse(HttpResponse&& response, bool reusable);
  void OnStreamedResponse(HttpResponse&& response, std::optional<std::uint64_t> body_length);
  void FailResponse() { Fail(AttemptOutcome::kConnectionReset); }

  // Means of the writer and reader.
  void SetTimer(Steady::time_point at);
  void RestartResponseTimer();
  const Timeouts& timeouts() const;
  bool closed() const { return state_ == ConnectionState::kClosed; }
  bool streaming() const { return state_ == ConnectionState::kStreamingResponse; }

 private:
  class ResponseBodyStream;

  void EnterState(ConnectionState state);
  void WriteRequest();
  void OnTimer();
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
  Attempt attempt_;
  Steady::time_point idle_since_{};
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_UPSTREAM_BACKEND_CONNECTION_H_
