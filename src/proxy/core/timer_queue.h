// SPDX-License-Identifier: Apache-2.0
//
// Multiplexes the Balancer's timers onto one timer of the event loop.
#ifndef COPPERPOINT_PROXY_CORE_TIMER_QUEUE_H_
#define COPPERPOINT_PROXY_CORE_TIMER_QUEUE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>

#include "proxy/clock.h"

namespace copperpoint::proxy {

// Owns the tokens of the timers that are not due yet. No timer is reported early, since the Balancer ignores
// a timer that is not due by its own clock and would not set it again.
class TimerQueue {
 public:
  using OnDue = std::function<void(std::uint64_t token)>;

  // `on_due` is called from the event loop, once for each token added, in the order of the due times.
  TimerQueue(boost::asio::io_context& io, const BalancerClock& clock, OnDue on_due);

  // Takes effect with the next Arm.
  void Add(TimePoint at, std::uint64_t token);
  // Sets the event loop's timer to the earliest token, unless it is set to that time or an earlier one.
  void Arm();

 private:
  void ReportDue();

  const BalancerClock& clock_;
  OnDue on_due_;
  std::multimap<TimePoint, std::uint64_t> tokens_;
  TimePoint armed_for_;
  boost::asio::steady_timer timer_;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_CORE_TIMER_QUEUE_H_
