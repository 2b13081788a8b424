// SPDX-License-Identifier: Apache-2.0
//
// The network between clients, proxies and backends, modelled by the delay of each message. Lost messages are
// retransmitted after a time-out, as by TCP. Messages sent during a partition arrive after its end.
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

  // The delay of one message from a proxy to a backend or back, between these zones.
  Micros Delay(Micros now, int from, int to) {
    const Micros partition_end = partitioned_until_[Index(from, to)];
    return std::max<Micros>(0, partition_end - now) + Draw(MeanDelay(from, to));
  }
  // The delay of one message from a client to a proxy or back.
  Micros ClientDelay() { return Draw(settings_.client_ms); }
  // The delay between two zones in milliseconds, without jitter, loss and partitions.
  double MeanDelay(int from, int to) const {
    return from == to ? settings_.same_zone_ms : settings_.cross_zone_ms;
  }

  // Messages from one zone to the other are held until `until`. The reverse direction is not affected.
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
