// SPDX-License-Identifier: Apache-2.0
//
// What the process as a whole is up to, and so whether it is ready. It says so in the log; it acts on
// nothing.
#ifndef COPPERPOINT_PROXY_CONTROL_LIFECYCLE_H_
#define COPPERPOINT_PROXY_CONTROL_LIFECYCLE_H_

#include <functional>
#include <string>

namespace copperpoint::proxy {

class Lifecycle {
 public:
  enum class State { kStarting, kReady, kDrained, kStopping };
  using Note = std::function<void(const std::string&)>;

  explicit Lifecycle(Note note) : note_(std::move(note)) {}

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

  Note note_;
  bool started_ = false, drained_ = false, stopping_ = false;
};

const char* NameOf(Lifecycle::State state);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_CONTROL_LIFECYCLE_H_
