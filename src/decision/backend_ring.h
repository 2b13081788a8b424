// SPDX-License-Identifier: Apache-2.0
//
// The backends in the order of a hash of their ids, which is the same at all proxies.
#ifndef COPPERPOINT_DECISION_BACKEND_RING_H_
#define COPPERPOINT_DECISION_BACKEND_RING_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "decision/backend_state.h"
#include "decision/random.h"

namespace copperpoint {

// A sorted list of backend indices. `id_of(index)` of the methods below returns the BackendId of an index.
class BackendRing {
 public:
  const std::vector<BackendIndex>& order() const { return order_; }
  std::size_t size() const { return order_.size(); }

  // Inserts a backend at its position, unless it is in the ring already. Doesn't sort the other backends.
  template <typename IdOf>
  void Insert(BackendIndex index, const IdOf& id_of) {
    const auto at = std::lower_bound(
        order_.begin(), order_.end(), index,
        [&](BackendIndex a, BackendIndex b) { return PositionOf(a, id_of) < PositionOf(b, id_of); });
    if (at == order_.end() || *at != index) order_.insert(at, index);
  }

  // Replaces the contents by the backends of index 0 to `count` - 1.
  template <typename IdOf>
  void Rebuild(std::size_t count, const IdOf& id_of) {
    std::vector<Position> positions;
    positions.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
      positions.push_back(PositionOf(static_cast<BackendIndex>(i), id_of));
    std::sort(positions.begin(), positions.end());
    order_.clear();
    order_.reserve(count);
    for (const Position& position : positions) order_.push_back(position.index);
  }

  void Remove(BackendIndex index) { std::erase(order_, index); }
  template <typename Predicate>
  void RemoveIf(const Predicate& predicate) {
    std::erase_if(order_, predicate);
  }

 private:
  struct Position {
    std::uint32_t hash = 0;  // hash of the BackendId
    BackendIndex index = 0;
    friend bool operator<(const Position& a, const Position& b) {
      return a.hash != b.hash ? a.hash < b.hash : a.index < b.index;
    }
  };
  template <typename IdOf>
  static Position PositionOf(BackendIndex index, const IdOf& id_of) {
    return {MixBits(id_of(index)), index};
  }

  std::vector<BackendIndex> order_;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_BACKEND_RING_H_
