// SPDX-License-Identifier: Apache-2.0
#include "simulation/world/true_response_times.h"

#include <algorithm>

namespace copperpoint::simulation {
namespace {

constexpr double kNever = -1;
// The oracle does not use a backend that fails more than this share of its requests at once.
constexpr double kMaxFastErrorShare = 0.2;
// Lower bound of the capacity by whose inverse a backend in slow start counts as slower.
constexpr double kMinCapacityFraction = 0.2;

}  // namespace

double TrueResponseTimes::ResponseTime(std::uint32_t proxy, BackendId id, double work_ms,
                                       std::uint64_t key) const {
  const Backend& backend = world_.backends[id];
  if (backend.health() != Backend::Health::kUp || backend.fast_error_share() > kMaxFastErrorShare)
    return kNever;
  if (world_.IsPoison(key)) return kNever;
  const Micros now = world_.now();
  const int zone = world_.proxies[proxy].zone;
  if (world_.network.IsPartitioned(now, zone, backend.zone()) ||
      world_.network.IsPartitioned(now, backend.zone(), zone))
    return kNever;
  const double fraction = std::max(kMinCapacityFraction, backend.CapacityFraction(now));
  return 2 * world_.network.MeanDelay(zone, backend.zone()) +
         backend.CompletionTime(now, work_ms, key) / fraction;
}

}  // namespace copperpoint::simulation
