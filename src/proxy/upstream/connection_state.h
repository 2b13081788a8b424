// SPDX-License-Identifier: Apache-2.0
//
// States of a backend connection, the transitions between them, and what a timeout means in each.
#ifndef COPPERPOINT_PROXY_UPSTREAM_CONNECTION_STATE_H_
#define COPPERPOINT_PROXY_UPSTREAM_CONNECTION_STATE_H_

#include "copperpoint/balancer.h"

namespace copperpoint::proxy {

//   state              | ends when                                | limited by
//   -------------------|------------------------------------------|----------------------------------
//   kConnecting        | the connection is established            | connect timeout, attempt timeout
//   kWritingRequest    | the kernel has the last byte             | attempt timeout (upload: stall)
//   kAwaitingResponse  | the response's first byte arrives        | attempt timeout
//   kReadingResponse   | the response is complete or too large    | stall timeout, attempt timeout
//   kStreamingResponse | the stream is read or released           | stall timeout of each read
//   kIdle              | the pool assigns an attempt              | idle timeout
//   kClosed            | never                                    |
enum class ConnectionState {
  kConnecting,
  kWritingRequest,
  kAwaitingResponse,
  kReadingResponse,
  kStreamingResponse,
  kIdle,
  kClosed,
};

// The complete table of valid transitions. Every state except kClosed may also go to kClosed.
constexpr bool IsValidTransition(ConnectionState from, ConnectionState to) {
  if (to == ConnectionState::kClosed) return from != ConnectionState::kClosed;
  switch (from) {
    case ConnectionState::kConnecting:
      return to == ConnectionState::kWritingRequest;
    case ConnectionState::kWritingRequest:
      return to == ConnectionState::kAwaitingResponse;
    case ConnectionState::kAwaitingResponse:
      return to == ConnectionState::kReadingResponse;
    case ConnectionState::kReadingResponse:
      return to == ConnectionState::kStreamingResponse || to == ConnectionState::kIdle;
    case ConnectionState::kStreamingResponse:
      return to == ConnectionState::kIdle;
    case ConnectionState::kIdle:
      return to == ConnectionState::kWritingRequest;
    case ConnectionState::kClosed:
      return false;
  }
  return false;
}

// @return whether the backend may have received the complete request of the attempt, so that it may run.
constexpr bool IsRequestWritten(ConnectionState state) {
  return state == ConnectionState::kAwaitingResponse || state == ConnectionState::kReadingResponse;
}

// Which limit of an attempt a timer has reached.
enum class ExpiredLimit {
  kSendBy,          // the request may no longer be written
  kAttemptTimeout,  // the attempt's own timeout
  kState,           // another limit of the state, as the connect timeout
};

// @return the outcome of an attempt whose connection times out in `state`.
constexpr AttemptOutcome OutcomeOfTimeout(ConnectionState state, ExpiredLimit limit) {
  if (!IsRequestWritten(state))  // nothing has run
    return limit == ExpiredLimit::kSendBy ? AttemptOutcome::kNotSent : AttemptOutcome::kConnectFailure;
  if (state == ConnectionState::kReadingResponse && limit != ExpiredLimit::kAttemptTimeout)
    return AttemptOutcome::kConnectionReset;  // the response stopped halfway
  return AttemptOutcome::kTimeout;
}

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_UPSTREAM_CONNECTION_STATE_H_
