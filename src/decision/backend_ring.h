// SPDX-License-Identifier: Apache-2.0
//
// Servers in an order that all proxies share: by a hash of their ids. Bookkeeping, no decisions.
#ifndef COPPERPOINT_DECISION_BACKEND_RING_H_
#define COPPERPOINT_DECISION_BACKEND_RING_H_

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "copperpoint/balancer.h"
#include "decision/measures.h"
#include "decision/random.h"

namespace copperpoint {

class Ring {
 public:
  const std::vector<ServerIndex>& order() const { return order_; }
  std::size_t size() const { return order_.size(); }

  // A change of one server must not sort the fleet anew. `id_of` tells the id of an index.
  template <typename IdOf>
  void Join(ServerIndex i, const IdOf& id_of) {
    const auto place = std::lower_bound(order_.begin(), order_.end(), i, [&](ServerIndex a, ServerIndex b) {
      return PlaceOf(a, id_of) < PlaceOf(b, id_of);
    });
    if (place == order_.end() || *place != i) order_.insert(place, i);
  }

  // All of 0 to `count`, less one.
  template <typename IdOf>
  void Build(std::size_t count, const IdOf& id_of) {
    std::vector<Place> places;
    places.reserve(count);
    for (std::size_t i = 0; i < count; ++i) places.push_back(PlaceOf(static_cast<ServerIndex>(i), id_of));
    std::sort(places.begin(), places.end());
    order_.clear();
    for (const auto& [place, i] : places) order_.push_back(i);
  }

  void Leave(ServerIndex i) { std::erase(order_, i); }
  template <typename Predicate>
  void LeaveIf(const Predicate& predicate) {
    std::erase_if(order_, predicate);
  }

 private:
  using Place = std::pair<std::uint32_t, ServerIndex>;
  template <typename IdOf>
  static Place PlaceOf(ServerIndex i, const IdOf& id_of) {
    return {MixBits(id_of(i)), i};
  }

  std::vector<ServerIndex> order_;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_BACKEND_RING_H_
