// SPDX-License-Identifier: Apache-2.0
//
// Runs the decision module: passes every event to the Balancer and the resulting actions to an
// ActionHandler.
#ifndef COPPERPOINT_PROXY_CORE_EVENT_DISPATCHER_H_
#define COPPERPOINT_PROXY_CORE_EVENT_DISPATCHER_H_

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <vector>

#include "copperpoint/balancer.h"
#include "proxy/clock.h"
#include "proxy/core/event_sink.h"
#include "proxy/core/timer_queue.h"

namespace copperpoint::proxy {

// Executes the Balancer's actions.
class ActionHandler {
 public:
  virtual ~ActionHandler() = default;
  virtual void Execute(const Action& action) = 0;
  // Execute(action) threw. If it was a StartAttempt, the Balancer still waits for its AttemptCompleted.
  virtual void OnExecuteFailed(const Action& action) = 0;
};

// The only caller of Balancer::Handle. Owns the queue of events and the Balancer's timers.
//
// An event that is dispatched while actions are being executed is queued, so that Balancer::Handle is never
// re-entered. Events are handled in the order of their arrival, except that endpoint updates precede all
// other queued events: no request is forwarded according to an endpoint list that is known to be out of date.
class EventDispatcher : public EventSink {
 public:
  // Balancer::Handle, with the same parameters.
  using Decide = std::function<void(TimePoint now, const Event& event, std::vector<Action>* actions)>;

  // SetTimer is executed here, every other action by the handler, which must be set before the first event
  // is dispatched. The handler is not owned.
  EventDispatcher(boost::asio::io_context& io, const BalancerClock& clock, Decide decide);
  void set_handler(ActionHandler* handler) { handler_ = handler; }

  void Dispatch(Event event) override;

 private:
  void Enqueue(Event event);
  void HandleQueued();
  void Execute(const Action& action);

  const BalancerClock& clock_;
  Decide decide_;
  ActionHandler* handler_ = nullptr;
  TimerQueue timers_;
  std::deque<Event> events_;
  bool handling_ = false;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_CORE_EVENT_DISPATCHER_H_
