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

// With hundreds of proxies, each connected to every backend, the backends run out of connections, and no
// proxy sees enough outcomes of one backend to evaluate it. So a proxy uses as many backends as its traffic
// brings the request volume of outlier detection to, and at least kMaxSharers, over all proxies, allow
// (kMinSize to kMinSizeIfShared). Backends that are out of service don't count. Backends stand on a ring by a
// hash of their id; the subset is an arc of it from the proxy's offset, taken of the own zone and of the
// other zones apart where a crossing has a cost.
//
// Owns BackendState::subset_generation.
class Subset {
 public:
  explicit Subset(const Settings& settings);

  // Chooses the subset anew; returns the ready backends that have left it. Removes what is not ready from the
  // ring.
  std::vector<BackendId> Rebuild(EndpointSet& endpoints);

  // `ring_offset`: 0 to below 1. Takes effect with the next Rebuild, as does SetEvaluableBackends.
  void SetOffset(double ring_offset) { ring_offset_ = ring_offset; }
  // `backends`: OutlierDetector::EvaluableBackends of this proxy's traffic. True if the subset should be
  // rebuilt: small changes of the rate are not worth new connections.
  bool SetEvaluableBackends(std::size_t backends);

  const std::vector<BackendIndex>& backends() const { return backends_; }
  bool Contains(const BackendState& backend) const { return backend.subset_generation == generation_; }

 private:
  static constexpr int kMinSize = 3;                // where many proxies share few backends
  static constexpr int kMinSizeIfShared = 8;        // half may be ejected, and the rest is still a choice
  static constexpr double kMaxSharers = 64;         // proxies that connect to one backend
  static constexpr double kMinCrossingCost = 0.02;  // below, an even choice is worth more than the own zone
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
