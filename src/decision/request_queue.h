// SPDX-License-Identifier: Apache-2.0
//
// The requests that wait for capacity, in the order in which they are served, and the times at which their
// waits end.
#ifndef COPPERPOINT_DECISION_REQUEST_QUEUE_H_
#define COPPERPOINT_DECISION_REQUEST_QUEUE_H_

#include <cstddef>
#include <optional>
#include <set>

#include "copperpoint/balancer.h"
#include "decision/never.h"
#include "decision/request_state.h"

namespace copperpoint {

// Requests are ordered by queue_priority, the highest first, and among equal ones by age, the oldest first.
// The queue_priority of a queued request must not change. Owns RequestState::queued.
class RequestQueue {
 public:
  void Add(RequestState& request) {
    request.queued = true;
    queue_.insert(EntryOf(request));
  }
  // Does nothing if the request isn't queued.
  void Remove(RequestState& request) {
    if (request.queued) queue_.erase(EntryOf(request));
    request.queued = false;
  }
  std::size_t size() const { return queue_.size(); }
  bool empty() const { return queue_.empty(); }

  // Calls visit(id) in the order of service until `visit` returns false. `visit` may remove the request that
  // it is called with.
  template <typename Visit>
  void VisitInOrder(const Visit& visit) {
    for (auto it = queue_.begin(); it != queue_.end();) {
      const RequestId id = (it++)->id;
      if (!visit(id)) return;
    }
  }

  // Schedules a check of the request's wait at `at`, which may be before the client's deadline. TakeDue
  // returns the request even if it has ended meanwhile.
  void AddWakeUp(TimePoint at, RequestId id) { wake_ups_.insert({at, id}); }
  // Removes the earliest wake-up that is due and returns its request.
  std::optional<RequestId> TakeDue(TimePoint now) {
    if (wake_ups_.empty() || wake_ups_.begin()->at > now) return std::nullopt;
    const RequestId id = wake_ups_.begin()->id;
    wake_ups_.erase(wake_ups_.begin());
    return id;
  }
  TimePoint next_wake_up() const { return wake_ups_.empty() ? kNever : wake_ups_.begin()->at; }

 private:
  struct Entry {
    double priority = 0;
    TimePoint received_at{};
    RequestId id = 0;
    // An entry that is served earlier compares as less.
    friend bool operator<(const Entry& a, const Entry& b) {
      if (a.priority != b.priority) return a.priority > b.priority;
      return a.received_at != b.received_at ? a.received_at < b.received_at : a.id < b.id;
    }
  };
  struct WakeUp {
    TimePoint at{};
    RequestId id = 0;
    friend bool operator<(const WakeUp& a, const WakeUp& b) {
      return a.at != b.at ? a.at < b.at : a.id < b.id;
    }
  };
  static Entry EntryOf(const RequestState& request) {
    return {request.queue_priority, request.received_at, request.id};
  }

  std::set<Entry> queue_;
  std::set<WakeUp> wake_ups_;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_REQUEST_QUEUE_H_
