// SPDX-License-Identifier: Apache-2.0
//
// Remembers the processes that have ended, so that a late message of one of them is not accepted.
#ifndef COPPERPOINT_MEMBERSHIP_ENDED_INCARNATIONS_H_
#define COPPERPOINT_MEMBERSHIP_ENDED_INCARNATIONS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_set>

namespace copperpoint::membership {

// Owns the last kMaxRemembered incarnations that have ended; beyond this number the oldest is forgotten.
class EndedIncarnations {
 public:
  static constexpr std::size_t kMaxRemembered = 4096;

  bool Contains(std::uint64_t incarnation) const { return ended_.contains(incarnation); }
  void Add(std::uint64_t incarnation) {
    if (!ended_.insert(incarnation).second) return;
    order_.push_back(incarnation);
    if (order_.size() <= kMaxRemembered) return;
    ended_.erase(order_.front());
    order_.pop_front();
  }
  // Removes an incarnation that proves to be running.
  void Remove(std::uint64_t incarnation) { ended_.erase(incarnation); }

 private:
  std::deque<std::uint64_t> order_;
  std::unordered_set<std::uint64_t> ended_;
};

}  // namespace copperpoint::membership

#endif  // COPPERPOINT_MEMBERSHIP_ENDED_INCARNATIONS_H_
