// SPDX-License-Identifier: Apache-2.0
#include "proxy/core/event_dispatcher.h"

#include <algorithm>
#include <exception>
#include <utility>
#include <variant>

#include "log/event_names.h"
#include "log/log.h"

namespace copperpoint::proxy {
namespace {

// Sets a flag for its own lifetime, also if an exception ends the scope.
class ScopedFlag {
 public:
  explicit ScopedFlag(bool& flag) : flag_(flag) { flag_ = true; }
  ~ScopedFlag() { flag_ = false; }
  ScopedFlag(const ScopedFlag&) = delete;
  ScopedFlag& operator=(const ScopedFlag&) = delete;

 private:
  bool& flag_;
};

}  // namespace

EventDispatcher::EventDispatcher(boost::asio::io_context& io, const BalancerClock& clock, Decide decide)
    : clock_(clock),
      decide_(std::move(decide)),
      timers_(io, clock, [this](std::uint64_t token) { Dispatch(TimerFired{token}); }) {}

void EventDispatcher::Dispatch(Event event) {
  Enqueue(std::move(event));
  if (handling_) return;
  {
    const ScopedFlag handling(handling_);
    HandleQueued();
  }
  timers_.Arm();
}

void EventDispatcher::Enqueue(Event event) {
  auto position = events_.end();
  if (std::holds_alternative<EndpointUpdate>(event)) {
    position = std::find_if(events_.begin(), events_.end(), [](const Event& queued) {
      return !std::holds_alternative<EndpointUpdate>(queued);
    });
  }
  events_.insert(position, std::move(event));
}

void EventDispatcher::HandleQueued() {
  std::vector<Action> actions;
  while (!events_.empty()) {
    const Event event = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    decide_(clock_.Now(), event, &actions);
    for (const Action& action : actions) Execute(action);
  }
}

// An exception in one action must not prevent the others, which may be responses to other requests.
void EventDispatcher::Execute(const Action& action) {
  try {
    if (const auto* timer = std::get_if<SetTimer>(&action)) {
      timers_.Add(timer->at, timer->token);
    } else {
      handler_->Execute(action);
    }
  } catch (const std::exception& error) {
    log::Global().Error(log::events::kActionFailed, {{"error", error.what()}});
    handler_->OnExecuteFailed(action);
  }
}

}  // namespace copperpoint::proxy
