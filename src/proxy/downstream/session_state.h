// SPDX-License-Identifier: Apache-2.0
//
// States of a client connection and the transitions between them.
#ifndef COPPERPOINT_PROXY_DOWNSTREAM_SESSION_STATE_H_
#define COPPERPOINT_PROXY_DOWNSTREAM_SESSION_STATE_H_

namespace copperpoint::proxy {

//   state               | ends when                              | limited by
//   --------------------|----------------------------------------|----------------------------------------
//   kIdle               | the first byte of a request arrives    | request timeout (first), keep-alive
//   kReadingRequest     | the request is read, or is invalid     | request timeout, minimum body rate
//   kAwaitingResponse   | the Responder is called                | the request's deadline, kept by the proxy
//   kWritingResponse    | the response's last byte is written    | write timeout
//   kLingering          | the client closes (lingering close)    | lingering timeout
//   kClosed             | never                                  |
enum class SessionState {
  kIdle,
  kReadingRequest,
  kAwaitingResponse,
  kWritingResponse,
  kLingering,
  kClosed,
};

// The complete table of valid transitions. Every state except kClosed may also go to kClosed: on an I/O
// error, on eviction, and on expiry of a time limit after which no response can be sent.
constexpr bool IsValidTransition(SessionState from, SessionState to) {
  if (to == SessionState::kClosed) return from != SessionState::kClosed;
  switch (from) {
    case SessionState::kIdle:  // to itself: a new connection begins here
      return to == SessionState::kIdle || to == SessionState::kReadingRequest ||
             to == SessionState::kLingering;
    case SessionState::kReadingRequest:  // to lingering: the proxy shuts down
      return to == SessionState::kAwaitingResponse || to == SessionState::kWritingResponse ||
             to == SessionState::kLingering;
    case SessionState::kAwaitingResponse:
      return to == SessionState::kWritingResponse;
    case SessionState::kWritingResponse:  // to idle: keep-alive
      return to == SessionState::kIdle || to == SessionState::kLingering;
    case SessionState::kLingering:
    case SessionState::kClosed:
      return false;
  }
  return false;
}

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_DOWNSTREAM_SESSION_STATE_H_
