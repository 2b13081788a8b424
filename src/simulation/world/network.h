// SPDX-License-Identifier: Apache-2.0
//
// The network between clients, proxies and backends: delays between zones. What is lost is sent again after a
// while, as TCP does; what meets a partition arrives when it is over.
#ifndef COPPERPOINT_SIMULATION_WORLD_NETWORK_H_
#define COPPERPOINT_SIMULATION_WORLD_NETWORK_H_

#include <algorithm>
#include <vector>

#include "simulation/core/event_queue.h"
#include "simulation/core/random.h"
#include "simulation/scenario/scenario.h"

namespace copperpoint::simulation {

class Network {
 public:
  Network(const NetworkSettings& settings, int zones, std::uint64_t seed)
      : settings_(settings),
        zones_(static_cast<std::size_t>(zones)),
        partitioned_until_(zones_ * zones_, 0),
        random_(seed, "network") {}

  // One way, between proxies and backends of two zones.
  Micros Delay(Micros now, int from, int to) {
    const Micros partition_end = partitioned_until_[Index(from, to)];
    return std::max<Micros>(0, partition_end - now) + Draw(MeanDelay(from, to));
  }
  // One way, between clients and proxies.
  Micros ClientDelay() { return Draw(settings_.client_ms); }
  // In milliseconds, without jitter, loss and partitions.
  double MeanDelay(int from, int to) const {
    return from == to ? settings_.same_zone_ms : settings_.cross_zone_ms;
  }

  // From now until then nothing gets from one zone to the other; the reverse direction is not affected.
  void Partition(int from, int to, Micros until) {
    Micros& partition_end = partitioned_until_[Index(from, to)];
    partition_end = std::max(partition_end, until);
  }
  bool IsPartitioned(Micros now, int from, int to) const { return now < partitioned_until_[Index(from, to)]; }
  const NetworkSettings& settings() const { return settings_; }

 private:
  std::size_t Index(int from, int to) const {
    return static_cast<std::size_t>(from) * zones_ + static_cast<std::size_t>(to);
  }
  Micros Draw(double mean_ms) {
    double ms = settings_.jitter > 0 ? random_.Lognormal(mean_ms, settings_.jitter) : mean_ms;
    for (double wait = settings_.retransmit_ms; random_.Chance(settings_.loss); wait *= 2) ms += wait;
    return FromMs(ms);
  }

  const NetworkSettings& settings_;
  std::size_t zones_;
  std::vector<Micros> partitioned_until_;
  Random random_;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_NETWORK_H_
