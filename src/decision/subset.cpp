// SPDX-License-Identifier: Apache-2.0
#include "decision/subset.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace copperpoint {

Subset::Subset(const Settings& settings)
    : proxy_count_(settings.proxy_count),
      zone_(settings.zone),
      cross_zone_cost_(settings.cross_zone_cost),
      ring_offset_(std::fmod(settings.proxy_index * kGoldenRatio, 1)) {}

std::vector<BackendId> Subset::Rebuild(EndpointSet& endpoints) {
  endpoints.RemoveUnreadyFromRing();
  const std::vector<BackendIndex> before = std::exchange(backends_, {});
  const BackendRing& ring = endpoints.ring();
  const double shared_size = kMaxSharers * static_cast<double>(ring.size()) / proxy_count_;
  const std::size_t size =
      std::max(evaluable_backends_,
               static_cast<std::size_t>(std::clamp<double>(shared_size, kMinSize, kMinSizeIfShared)));
  std::vector<BackendIndex> own_zone, other_zones;
  for (const BackendIndex index : ring.order()) {
    const bool own = cross_zone_cost_ > kMinCrossingCost && endpoints[index].endpoint.zone == zone_;
    (own ? own_zone : other_zones).push_back(index);
  }
  AddArc(own_zone, size, endpoints);
  AddArc(other_zones, size, endpoints);
  ++generation_;
  for (const BackendIndex index : backends_) endpoints[index].subset_generation = generation_;
  std::vector<BackendId> left;
  for (const BackendIndex index : before) {
    const BackendState& backend = endpoints[index];
    if (backend.ready() && !Contains(backend)) left.push_back(backend.endpoint.backend);
  }
  return left;
}

void Subset::AddArc(const std::vector<BackendIndex>& ring, std::size_t size, const EndpointSet& endpoints) {
  const double start = ring_offset_ * static_cast<double>(ring.size());
  std::size_t in_service = 0;
  for (std::size_t k = 0; k < ring.size() && in_service < size; ++k) {
    const BackendIndex index = ring[(static_cast<std::size_t>(start) + k) % ring.size()];
    backends_.push_back(index);
    in_service += endpoints[index].in_service();
  }
}

bool Subset::SetEvaluableBackends(std::size_t backends) {
  if (backends <= evaluable_backends_ && backends * 2 >= evaluable_backends_) return false;
  evaluable_backends_ = backends;
  return true;
}

}  // namespace copperpoint
