// SPDX-License-Identifier: Apache-2.0
//
// Runs the decision module: every event goes through here to the Balancer, and its actions come back from
// here.
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

// Carries out what the Balancer decides.
class ActionHandler {
 public:
  virtual ~ActionHandler() = default;
  virtual void Execute(const Action& action) = 0;
  // Execute threw. The Balancer still waits for the completion of an attempt that was to be started.
  virtual void OnExecuteFailed(const Action& action) = 0;
};

// The only caller of Balancer::Handle. Owns the queue of events and the Balancer's timers.
//
// An action may bring about an event at once; such an event waits in the queue, so that the Balancer is never
// entered while its actions are being carried out. Events are handled in the order of their arrival, but for
// endpoint updates, which go before all others that wait: no request is forwarded by a list that is known to
// be out of date.
class EventDispatcher : public EventSink {
 public:
  // Balancer::Handle, with the same parameters.
  using Decide = std::function<void(TimePoint now, const Event& event, std::vector<Action>* actions)>;

  // SetTimer is carried out here, every other action by `handler`, which has to be set before the first
  // event.
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
