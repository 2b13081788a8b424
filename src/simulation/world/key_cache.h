// SPDX-License-Identifier: Apache-2.0
//
// The keys that a backend has cached: the most recently used ones, up to a number and an age.
#ifndef COPPERPOINT_SIMULATION_WORLD_KEY_CACHE_H_
#define COPPERPOINT_SIMULATION_WORLD_KEY_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>

#include "simulation/core/event_queue.h"

namespace copperpoint::simulation {

class KeyCache {
 public:
  // `lifetime`: how long a key stays cached after its last use.
  KeyCache(std::size_t max_keys, Micros lifetime) : max_keys_(max_keys), lifetime_(lifetime) {}

  bool Contains(Micros now, std::uint64_t key) const {
    const auto found = last_used_.find(key);
    return found != last_used_.end() && now - found->second < lifetime_;
  }

  void Use(Micros now, std::uint64_t key) {
    last_used_[key] = now;
    uses_.emplace_back(now, key);
    while (!uses_.empty() && (last_used_.size() > max_keys_ || now - uses_.front().first >= lifetime_))
      EvictOldestUse();
  }

  void Clear() {
    last_used_.clear();
    uses_.clear();
  }

 private:
  // Removes the oldest entry of `uses_`; its key is evicted only if it was not used again since.
  void EvictOldestUse() {
    const auto [at, key] = uses_.front();
    uses_.pop_front();
    const auto found = last_used_.find(key);
    if (found != last_used_.end() && found->second == at) last_used_.erase(found);
  }

  std::size_t max_keys_;
  Micros lifetime_;
  std::unordered_map<std::uint64_t, Micros> last_used_;
  std::deque<std::pair<Micros, std::uint64_t>> uses_;  // in order of time
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_KEY_CACHE_H_
