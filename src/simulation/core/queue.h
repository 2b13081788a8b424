// SPDX-License-Identifier: Apache-2.0
//
// Virtual time and what is due in it.
//
// Order: by time, then by rank, then by the order of Push. The ranks settle what happens first within one
// microsecond: news and faults, then what a backend sends, then what a client sends, then time-outs. So an
// answer that arrives in the microsecond of its time-out is an answer.
#ifndef COPPERPOINT_SIMULATION_CORE_QUEUE_H_
#define COPPERPOINT_SIMULATION_CORE_QUEUE_H_

#include <algorithm>
#include <boost/heap/d_ary_heap.hpp>
#include <cstdint>
#include <limits>

namespace copperpoint::simulation {

using Micros = std::int64_t;
constexpr Micros kNeverMicros = std::numeric_limits<Micros>::max();

constexpr Micros FromMs(double ms) {
  return ms >= 9e15 ? kNeverMicros : static_cast<Micros>(ms * 1000 + (ms < 0 ? -0.5 : 0.5));
}
constexpr double ToMs(Micros at) { return static_cast<double>(at) / 1000; }

enum class Rank : std::uint8_t { kNews, kBackend, kClient, kTimeout };

// What falls due. `kind` and the numbers mean something to the one who pushed it.
struct Due {
  Micros at = 0;
  std::uint64_t order = 0;
  std::uint32_t kind = 0, a = 0;
  std::uint64_t b = 0;
};

class Queue {
 public:
  Micros now() const { return now_; }
  bool empty() const { return heap_.empty(); }
  std::size_t size() const { return heap_.size(); }
  std::uint64_t taken() const { return taken_; }

  // A time that has passed is now: it comes after all that is due by then.
  void Push(Micros at, Rank rank, std::uint32_t kind, std::uint32_t a, std::uint64_t b) {
    heap_.push({std::max(at, now_), static_cast<std::uint64_t>(rank) << 60 | ++pushed_, kind, a, b});
  }
  Due Take() {
    const Due due = heap_.top();
    heap_.pop();
    now_ = due.at;
    ++taken_;
    return due;
  }

 private:
  struct Later {
    bool operator()(const Due& x, const Due& y) const {
      return x.at != y.at ? x.at > y.at : x.order > y.order;
    }
  };

  boost::heap::d_ary_heap<Due, boost::heap::arity<4>, boost::heap::compare<Later>> heap_;
  Micros now_ = 0;
  std::uint64_t pushed_ = 0, taken_ = 0;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_CORE_QUEUE_H_
