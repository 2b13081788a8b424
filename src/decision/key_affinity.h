// SPDX-License-Identifier: Apache-2.0
//
// Decides which backends are expected to serve a key with less work: those that served it lately, and those
// that all proxies prefer for it.
#ifndef COPPERPOINT_DECISION_KEY_AFFINITY_H_
#define COPPERPOINT_DECISION_KEY_AFFINITY_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include "copperpoint/balancer.h"
#include "decision/backend_state.h"
#include "decision/random.h"

namespace copperpoint {

// Records which backends each key was sent to within the last kMemory. Owns that history.
class KeyMemory {
 public:
  static constexpr Duration kMemory{4000};
  static constexpr std::size_t kMaxLatest = 8;  // backends that ForLatest visits

  void OnSent(std::uint64_t key, BackendIndex backend, TimePoint now) {
    RemoveExpired(now);
    auto& uses = uses_[key];
    std::erase_if(uses, [&](const Use& use) { return use.backend == backend; });
    uses.push_back({backend, now});
    expiries_.emplace_back(now, key);
  }

  // Calls visit(backend) for up to kMaxLatest backends that the key was sent to, the latest first.
  template <typename Visit>
  void ForLatest(std::uint64_t key, TimePoint now, const Visit& visit) const {
    const auto found = uses_.find(key);
    if (key == 0 || found == uses_.end()) return;
    const auto& uses = found->second;
    for (std::size_t k = uses.size(); k > 0 && uses.size() - k < kMaxLatest; --k) {
      if (now - uses[k - 1].at < kMemory) visit(uses[k - 1].backend);
    }
  }

  bool Contains(std::uint64_t key, BackendIndex backend, TimePoint now) const {
    const auto found = uses_.find(key);
    if (found == uses_.end()) return false;
    return std::any_of(found->second.begin(), found->second.end(),
                       [&](const Use& use) { return use.backend == backend && now - use.at < kMemory; });
  }

 private:
  struct Use {
    BackendIndex backend = 0;
    TimePoint at{};
  };
  void RemoveExpired(TimePoint now) {
    while (!expiries_.empty() && now - expiries_.front().first >= kMemory) {
      const auto found = uses_.find(expiries_.front().second);
      if (found != uses_.end()) {
        std::erase_if(found->second, [&](const Use& use) { return now - use.at >= kMemory; });
        if (found->second.empty()) uses_.erase(found);
      }
      expiries_.pop_front();
    }
  }

  std::unordered_map<std::uint64_t, std::vector<Use>> uses_;
  std::deque<std::pair<TimePoint, std::uint64_t>> expiries_;
};

// The kCount backends that all proxies prefer for a key, by rendezvous hashing (Thaler and Ravishankar 1998):
// when a backend is added or removed, only its own keys move. Used with many proxies, where each sees a key
// too seldom to know which backend served it lately. kCount is small enough that the backends keep the key in
// their caches, and large enough that a popular key overloads none of them.
class PreferredBackends {
 public:
  static constexpr int kCount = 4;

  // Considers a backend for `key`. Only backends in service may be offered.
  void Offer(std::uint64_t key, BackendId id, BackendIndex index) {
    Candidate candidate(MixBits(static_cast<std::uint32_t>(key) ^ MixBits(id)), index);
    for (Candidate& better : best_) {
      if (candidate.first > better.first) std::swap(candidate, better);
    }
  }
  bool Contains(BackendIndex index) const {
    return std::any_of(best_.begin(), best_.end(), [index](const Candidate& candidate) {
      return candidate.first != 0 && candidate.second == index;
    });
  }

 private:
  using Candidate = std::pair<std::uint32_t, BackendIndex>;
  std::array<Candidate, kCount> best_{};  // by hash, the highest first; a hash of 0 marks a free place
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_KEY_AFFINITY_H_
