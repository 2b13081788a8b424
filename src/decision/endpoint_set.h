// SPDX-License-Identifier: Apache-2.0
//
// The backends that discovery has listed, and what is known of each.
#ifndef COPPERPOINT_DECISION_ENDPOINT_SET_H_
#define COPPERPOINT_DECISION_ENDPOINT_SET_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <deque>
#include <utility>
#include <vector>

#include "copperpoint/balancer.h"
#include "decision/backend_ring.h"
#include "decision/backend_state.h"

namespace copperpoint {

// Owns the records of all backends. A removed backend leaves its record as it is for kRemovedMemory, since
// requests and a later list may refer to it; then the next new backend takes it over. An index is valid until
// then.
class EndpointSet {
 public:
  static constexpr Duration kRemovedMemory{600000};

  // What an update changed.
  struct Changes {
    struct Listed {
      BackendIndex index = 0;
      bool started = false;  // new, or with another start of its process
    };
    std::vector<Listed> listed;  // for each endpoint of the update, in its order
    int ready = 0;               // change of the number of ready backends
    int ejected = 0;             // and of those among them that are ejected
  };

  // Applies a list; an update of kind kFailed must not be applied.
  Changes Apply(const EndpointUpdate& update, TimePoint now);

  std::vector<BackendState>& backends() { return backends_; }
  const std::vector<BackendState>& backends() const { return backends_; }
  BackendState& operator[](BackendIndex index) { return backends_[index]; }
  const BackendState& operator[](BackendIndex index) const { return backends_[index]; }
  BackendIndex IndexOf(const BackendState& backend) const {
    return static_cast<BackendIndex>(&backend - backends_.data());
  }
  // Null if the backend was never listed or is forgotten.
  BackendState* Find(BackendId id);

  // The ready backends in the order that all proxies share. After an update that order holds others too until
  // RemoveUnreadyFromRing.
  const BackendRing& ring() const { return ring_; }
  void RemoveUnreadyFromRing();

 private:
  // Incremental updates of at most so many endpoints are inserted one by one; larger ones sort the ring anew.
  static constexpr std::size_t kMaxRingInsertions = 64;

  BackendIndex Add(TimePoint now);
  bool TakeForgotten(TimePoint now, BackendIndex* index);
  void SetState(BackendState& backend, EndpointState state, TimePoint now, Changes* changes);
  void MarkUnlistedRemoved(const EndpointUpdate& snapshot, TimePoint now, Changes* changes);
  void UpdateRing(const EndpointUpdate& update);

  std::vector<BackendState> backends_;
  boost::unordered_flat_map<BackendId, BackendIndex> index_;
  int snapshot_generation_ = 0;
  // By the time of removal. An entry is stale if its backend was listed again since.
  std::deque<std::pair<TimePoint, BackendIndex>> removed_;
  BackendRing ring_;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_ENDPOINT_SET_H_
