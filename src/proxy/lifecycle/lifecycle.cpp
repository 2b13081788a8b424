// SPDX-License-Identifier: Apache-2.0
#include "proxy/lifecycle/lifecycle.h"

#include <string_view>

#include "log/event_names.h"

namespace copperpoint::proxy {

const char* NameOf(Lifecycle::State state) {
  switch (state) {
    case Lifecycle::State::kStarting:
      return "starting";
    case Lifecycle::State::kReady:
      return "ready";
    case Lifecycle::State::kDrainingNotStarted:
    case Lifecycle::State::kDraining:
      return "drained";
    case Lifecycle::State::kShuttingDown:
      return "stopping";
  }
  return "unknown";
}

Lifecycle::State Lifecycle::Next(State state, Event event) {
  if (state == State::kShuttingDown) return state;
  const bool started = state == State::kReady || state == State::kDraining;
  const bool draining = state == State::kDraining || state == State::kDrainingNotStarted;
  switch (event) {
    case Event::kStarted:
      return draining ? State::kDraining : State::kReady;
    case Event::kStartDraining:
      return started ? State::kDraining : State::kDrainingNotStarted;
    case Event::kStopDraining:
      return started ? State::kReady : State::kStarting;
    case Event::kStartShutdown:
      return State::kShuttingDown;
  }
  return state;
}

bool Lifecycle::Handle(Event event) {
  if (shutting_down()) return false;
  const std::string_view before = NameOf(state_);
  state_ = Next(state_, event);
  const std::string_view after = NameOf(state_);
  if (after != before) log_.Info(log::events::kStateChanged, {{"from", before}, {"to", after}});
  return true;
}

void Lifecycle::OnStarted() { Handle(Event::kStarted); }

bool Lifecycle::StartDraining() { return Handle(Event::kStartDraining); }

bool Lifecycle::StopDraining() { return Handle(Event::kStopDraining); }

void Lifecycle::StartShutdown() { Handle(Event::kStartShutdown); }

}  // namespace copperpoint::proxy
