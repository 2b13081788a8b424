// SPDX-License-Identifier: Apache-2.0
//
// The event queue of a discrete-event simulation, and its virtual time.
//
// Order: by time, then by priority, then by the order of Push. The priorities settle what happens first
// within one microsecond: control (faults and endpoint updates), then what a backend sends, then what a
// client sends, then timeouts. So a response that arrives in the microsecond of its timeout is in time.
#ifndef COPPERPOINT_SIMULATION_CORE_EVENT_QUEUE_H_
#define COPPERPOINT_SIMULATION_CORE_EVENT_QUEUE_H_

#include <algorithm>
#include <boost/heap/d_ary_heap.hpp>
#include <cstdint>
#include <limits>

namespace copperpoint::simulation {

using Micros = std::int64_t;  // microseconds of virtual time
constexpr Micros kNeverMicros = std::numeric_limits<Micros>::max();

constexpr Micros FromMs(double ms) {
  return ms >= 9e15 ? kNeverMicros : static_cast<Micros>(ms * 1000 + (ms < 0 ? -0.5 : 0.5));
}
constexpr double ToMs(Micros at) { return static_cast<double>(at) / 1000; }

enum class EventPriority : std::uint8_t { kControl, kBackend, kClient, kTimeout };

// An event that falls due. Its kind, target and argument have a meaning for the one who pushed it.
struct ScheduledEvent {
  Micros at = 0;
  std::uint64_t order = 0;
  std::uint32_t kind = 0;
  std::uint32_t target = 0;
  std::uint64_t argument = 0;
};

class EventQueue {
 public:
  Micros now() const { return now_; }
  bool empty() const { return heap_.empty(); }
  std::size_t size() const { return heap_.size(); }
  std::uint64_t processed() const { return processed_; }  // events popped so far

  // An event in the past is due now: after all that is due by then.
  void Push(Micros at, EventPriority priority, std::uint32_t kind, std::uint32_t target,
            std::uint64_t argument) {
    const std::uint64_t order = static_cast<std::uint64_t>(priority) << kPriorityShift | ++pushed_;
    heap_.push({std::max(at, now_), order, kind, target, argument});
  }
  // Removes the next event and moves the time on to it. The queue must not be empty.
  ScheduledEvent PopNext() {
    const ScheduledEvent event = heap_.top();
    heap_.pop();
    now_ = event.at;
    ++processed_;
    return event;
  }

 private:
  static constexpr int kPriorityShift = 60;

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
