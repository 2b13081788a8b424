// SPDX-License-Identifier: Apache-2.0
//
// The backends that discovery has listed, with the record of each.
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

// Owns the records of all backends. The record of a removed backend stays unchanged for kRemovedRetention,
// since requests and a later list may refer to it; then it is reused for the next new backend. A BackendIndex
// is valid until its record is reused.
class EndpointSet {
 public:
  static constexpr Duration kRemovedRetention{600000};

  // The changes that an update made.
  struct Changes {
    struct Listed {
      BackendIndex index = 0;
      bool started = false;  // the backend is new, or its process was started anew
    };
    std::vector<Listed> listed;  // for each endpoint of the update, in its order
    int ready = 0;               // change of the number of ready backends
    int ejected = 0;             // change of the number of ready backends that are ejected
  };

  // Applies an endpoint list. The kind of `update` must not be kFailed.
  Changes Apply(const EndpointUpdate& update, TimePoint now);

  std::vector<BackendState>& backends() { return backends_; }
  const std::vector<BackendState>& backends() const { return backends_; }
  BackendState& operator[](BackendIndex index) { return backends_[index]; }
  const BackendState& operator[](BackendIndex index) const { return backends_[index]; }
  BackendIndex IndexOf(const BackendState& backend) const {
    return static_cast<BackendIndex>(&backend - backends_.data());
  }
  // Returns null if the backend was never listed or its record has been reused.
  BackendState* Find(BackendId id);

  // The ready backends in the order that all proxies share. After an update, the ring also contains backends
  // that are not ready, until RemoveUnreadyFromRing is called.
  const BackendRing& ring() const { return ring_; }
  void RemoveUnreadyFromRing();

 private:
  // Endpoints of an incremental update are inserted one by one up to this number; for more, the ring is
  // rebuilt.
  static constexpr std::size_t kMaxRingInsertions = 64;

  BackendIndex Add(TimePoint now);
  bool TakeExpiredRecord(TimePoint now, BackendIndex* index);
  void SetState(BackendState& backend, EndpointState state, TimePoint now, Changes* changes);
  void MarkUnlistedRemoved(const EndpointUpdate& snapshot, TimePoint now, Changes* changes);
  void UpdateRing(const EndpointUpdate& update);

  std::vector<BackendState> backends_;
  boost::unordered_flat_map<BackendId, BackendIndex> index_;
  int snapshot_generation_ = 0;
  // Removed backends in the order of their removal. An entry is stale if its backend was listed again since.
  std::deque<std::pair<TimePoint, BackendIndex>> removed_;
  BackendRing ring_;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_ENDPOINT_SET_H_
