// SPDX-License-Identifier: Apache-2.0
//
// The event queue of a discrete-event simulation, with its virtual clock.
//
// Events are ordered by time, then by priority, then by the order in which they were pushed. Within one
// microsecond, control events (faults, endpoint updates) come first, then messages from backends, messages
// from clients, and timeouts. So a response that arrives in the microsecond of its timeout is in time.
#ifndef COPPERPOINT_SIMULATION_CORE_EVENT_QUEUE_H_
#define COPPERPOINT_SIMULATION_CORE_EVENT_QUEUE_H_

#include <algorithm>
#include <boost/heap/d_ary_heap.hpp>
#include <cstdint>
#include <limits>

namespace copperpoint::simulation {

using Micros = std::int64_t;  // microseconds of virtual time
constexpr Micros kNeverMicros = std::numeric_limits<Micros>::max();

// Rounds to the nearest microsecond; gives kNeverMicros for times of 9e15 ms or more.
constexpr Micros FromMs(double ms) {
  return ms >= 9e15 ? kNeverMicros : static_cast<Micros>(ms * 1000 + (ms < 0 ? -0.5 : 0.5));
}
constexpr double ToMs(Micros at) { return static_cast<double>(at) / 1000; }

enum class EventPriority : std::uint8_t { kControl, kBackend, kClient, kTimeout };

// A scheduled event. The queue does not interpret its kind, target and argument.
struct ScheduledEvent {
  Micros at = 0;            // when it is due
  std::uint64_t order = 0;  // among events of the same time: priority, then sequence number of Push
  std::uint32_t kind = 0;
  std::uint32_t target = 0;
  std::uint64_t argument = 0;
};

// A priority queue of events. Its clock moves only in PopNext, to the time of the event that is returned.
class EventQueue {
 public:
  Micros now() const { return now_; }
  bool empty() const { return heap_.empty(); }
  std::size_t size() const { return heap_.size(); }
  std::uint64_t processed() const { return processed_; }  // events popped so far

  // Schedules an event. A time in the past is replaced by the current time.
  void Push(Micros at, EventPriority priority, std::uint32_t kind, std::uint32_t target,
            std::uint64_t argument) {
    const std::uint64_t order = static_cast<std::uint64_t>(priority) << kPriorityShift | ++pushed_;
    heap_.push({std::max(at, now_), order, kind, target, argument});
  }
  // Removes and returns the next event, and advances the clock to its time. The queue must not be empty.
  ScheduledEvent PopNext() {
    const ScheduledEvent event = heap_.top();
    heap_.pop();
    now_ = event.at;
    ++processed_;
    return event;
  }

 private:
  static constexpr int kPriorityShift = 60;

  // True if `x` is due after `y`: the heap then has the next event at its top.
  struct Later {
    bool operator()(const ScheduledEvent& x, const ScheduledEvent& y) const {
      return x.at != y.at ? x.at > y.at : x.order > y.order;
    }
  };

  boost::heap::d_ary_heap<ScheduledEvent, boost::heap::arity<4>, boost::heap::compare<Later>> heap_;
  Micros now_ = 0;
  std::uint64_t pushed_ = 0;
  std::uint64_t processed_ = 0;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_CORE_EVENT_QUEUE_H_
