// SPDX-License-Identifier: Apache-2.0
//
// What the process as a whole is up to, and so whether it is ready. It says so in the log; it acts on
// nothing.
#ifndef COPPERPOINT_PROXY_LIFECYCLE_LIFECYCLE_H_
#define COPPERPOINT_PROXY_LIFECYCLE_LIFECYCLE_H_

#include "log/log.h"

namespace copperpoint::proxy {

class Lifecycle {
 public:
  enum class State { kStarting, kReady, kDrained, kStopping };
  explicit Lifecycle(log::Logger& log) : log_(log) {}

  State state() const;
  bool Ready() const { return state() == State::kReady; }

  // Each of them may come twice; once stopping, the process stays so. False: it is too late for that.
  void Started();
  bool Drain();
  bool Undrain();
  void Stop();

 private:
  template <typename Change>
  bool Move(Change change);

  log::Logger& log_;
  bool started_ = false, drained_ = false, stopping_ = false;
};

const char* NameOf(Lifecycle::State state);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_LIFECYCLE_LIFECYCLE_H_
