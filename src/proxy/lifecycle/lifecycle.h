// SPDX-License-Identifier: Apache-2.0
//
// The state of the proxy process: whether it is ready for clients, draining, or shutting down.
#ifndef COPPERPOINT_PROXY_LIFECYCLE_LIFECYCLE_H_
#define COPPERPOINT_PROXY_LIFECYCLE_LIFECYCLE_H_

#include "log/log.h"

namespace copperpoint::proxy {

// The state machine of the process. It owns the state and logs each change; others read it and act: the
// composition root (Proxy) passes every change to the client connections and to the membership.
//
//   kStarting ----------- OnStarted --> kReady
//       | ^ StopDraining                  | ^ StopDraining
//       v | StartDraining                 v | StartDraining
//   kDrainingNotStarted - OnStarted --> kDraining
//
//   StartShutdown leads from every state to kShuttingDown, which is final.
//
// Draining: /ready answers 503 so that load balancers in front send no new connections; idle client
// connections are closed, the others after their next response; whatever still arrives is served.
//
// Graceful shutdown (SIGTERM or SIGINT, Proxy::Stop): new connections are accepted for a grace period
// longer, since callers that have not noticed yet keep sending; every request in flight and every request
// that arrives on an open connection is forwarded and answered as usual, and its connection closes after the
// response. The process exits when no client connection is left. No request is cancelled because of the
// signal. A request that is still being read when the grace period ends has kShutdownReadGrace
// (client_listener.cpp) longer; then its connection closes without a response.
//
// The platform kills the process some time after the signal. Requests that were read before the signal keep
// their own deadline. A request that is read after it, or whose streamed body ends after it, is answered by
// ShutdownResponseTime (shutdown_time.h) at the latest, if necessary before its client's deadline; one that
// is not read completely by then gets 503 or the end of its connection.
class Lifecycle {
 public:
  enum class State { kStarting, kReady, kDrainingNotStarted, kDraining, kShuttingDown };

  explicit Lifecycle(log::Logger& log) : log_(log) {}

  State state() const { return state_; }
  bool ready() const { return state_ == State::kReady; }
  bool draining() const { return state_ == State::kDraining || state_ == State::kDrainingNotStarted; }
  bool shutting_down() const { return state_ == State::kShuttingDown; }

  // To be called when the process accepts clients and knows at least one backend.
  void OnStarted();
  // Both are idempotent. They return false, and change nothing, if the process is shutting down.
  bool StartDraining();
  bool StopDraining();
  // Repeated calls have no effect.
  void StartShutdown();

 private:
  enum class Event { kStarted, kStartDraining, kStopDraining, kStartShutdown };

  // The transition table: returns the state that follows, which is `state` if the event has no effect.
  static State Next(State state, Event event);
  bool Handle(Event event);

  log::Logger& log_;
  State state_ = State::kStarting;
};

// Returns the name in log lines and in the admin interface's responses. Both draining states are "drained".
const char* NameOf(Lifecycle::State state);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_LIFECYCLE_LIFECYCLE_H_
