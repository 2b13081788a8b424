// SPDX-License-Identifier: Apache-2.0
//
// Decides which backends a proxy sends requests and connects to: its subset.
#ifndef COPPERPOINT_DECISION_SUBSET_H_
#define COPPERPOINT_DECISION_SUBSET_H_

#include <cstddef>
#include <vector>

#include "copperpoint/balancer.h"
#include "decision/backend_state.h"
#include "decision/endpoint_set.h"

namespace copperpoint {

// If hundreds of proxies were each connected to every backend, the backends would run out of connections, and
// no proxy would see enough outcomes of one backend to evaluate it. A proxy therefore uses as many backends
// as its traffic brings the request volume of outlier detection to. It uses at least as many as keep a
// backend shared by kMaxSharers proxies, bounded to kMinSize to kMinSizeIfShared. Backends that are out of
// service don't count. The backends form a ring in the order of a hash of their ids, and the subset is an arc
// of the ring from the proxy's offset. If crossing zones has a cost, one arc is taken of the backends of the
// own zone and one of those of the other zones.
//
// Owns BackendState::subset_generation.
class Subset {
 public:
  explicit Subset(const Settings& settings);

  // Chooses the subset anew and returns the ready backends that are no longer in it. Removes backends that
  // are not ready from the ring.
  std::vector<BackendId> Rebuild(EndpointSet& endpoints);

  // Sets the start of the subset on the ring, 0 to below 1. Takes effect with the next Rebuild, as does
  // SetEvaluableBackends.
  void SetOffset(double ring_offset) { ring_offset_ = ring_offset; }
  // `backends`: OutlierDetector::EvaluableBackends of this proxy's traffic. Returns true if the subset should
  // be rebuilt. Small changes of the rate are ignored, since new connections cost more than they would gain.
  bool SetEvaluableBackends(std::size_t backends);

  const std::vector<BackendIndex>& backends() const { return backends_; }
  bool Contains(const BackendState& backend) const { return backend.subset_generation == generation_; }

 private:
  static constexpr int kMinSize = 3;          // lower bound if many proxies share few backends
  static constexpr int kMinSizeIfShared = 8;  // when half of them are ejected, the rest is still a choice
  static constexpr double kMaxSharers = 64;   // proxies that connect to one backend
  // Below this cost, an even choice among all backends is worth more than staying in the own zone.
  static constexpr double kMinCrossingCost = 0.02;
  static constexpr double kGoldenRatio = 0.6180339887498949;  // spreads the proxies' offsets evenly

  void AddArc(const std::vector<BackendIndex>& ring, std::size_t size, const EndpointSet& endpoints);

  const int proxy_count_, zone_;
  const double cross_zone_cost_;
  double ring_offset_;
  std::size_t evaluable_backends_ = 0;
  int generation_ = 0;
  std::vector<BackendIndex> backends_;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_SUBSET_H_
