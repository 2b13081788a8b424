// SPDX-License-Identifier: Apache-2.0
#include "proxy/lifecycle/lifecycle.h"

namespace copperpoint::proxy {

const char* NameOf(Lifecycle::State state) {
  switch (state) {
    case Lifecycle::State::kStarting:
      return "starting";
    case Lifecycle::State::kReady:
      return "ready";
    case Lifecycle::State::kDrained:
      return "drained";
    case Lifecycle::State::kStopping:
      return "stopping";
  }
  return "unknown";
}

Lifecycle::State Lifecycle::state() const {
  if (stopping_) return State::kStopping;
  if (drained_) return State::kDrained;
  return started_ ? State::kReady : State::kStarting;
}

template <typename Change>
bool Lifecycle::Move(Change change) {
  if (stopping_) return false;
  const State before = state();
  change();
  if (state() != before) log_.Info("state_changed", {{"from", NameOf(before)}, {"to", NameOf(state())}});
  return true;
}

void Lifecycle::Started() {
  Move([this] { started_ = true; });
}

bool Lifecycle::Drain() {
  return Move([this] { drained_ = true; });
}

bool Lifecycle::Undrain() {
  return Move([this] { drained_ = false; });
}

void Lifecycle::Stop() {
  Move([this] { stopping_ = true; });
}

}  // namespace copperpoint::proxy
