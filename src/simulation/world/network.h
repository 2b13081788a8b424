// SPDX-License-Identifier: Apache-2.0
//
// Delays between the zones. What is lost is sent again after a while, as TCP does; what meets a cut arrives
// when the cut is over, if anyone still waits for it then.
#ifndef COPPERPOINT_SIMULATION_WORLD_NETWORK_H_
#define COPPERPOINT_SIMULATION_WORLD_NETWORK_H_

#include <algorithm>
#include <vector>

#include "simulation/core/queue.h"
#include "simulation/core/random.h"
#include "simulation/scenario/scenario.h"

namespace copperpoint::simulation {

class Network {
 public:
  Network(const Wires& wires, int zones, std::uint64_t seed)
      : wires_(wires),
        zones_(static_cast<std::size_t>(zones)),
        cut_until_(zones_ * zones_, 0),
        random_(seed, "network") {}

  // Between proxies and backends.
  Micros Delay(Micros now, int from, int to) {
    const Micros healed = cut_until_[Index(from, to)];
    return std::max<Micros>(0, healed - now) + Draw(Mean(from, to));
  }
  Micros ClientDelay() { return Draw(wires_.client_ms); }
  double Mean(int from, int to) const { return from == to ? wires_.same_zone_ms : wires_.cross_zone_ms; }

  void Cut(int from, int to, Micros until) {
    Micros& healed = cut_until_[Index(from, to)];
    healed = std::max(healed, until);
  }
  bool IsCut(Micros now, int from, int to) const { return now < cut_until_[Index(from, to)]; }
  const Wires& wires() const { return wires_; }

 private:
  std::size_t Index(int from, int to) const {
    return static_cast<std::size_t>(from) * zones_ + static_cast<std::size_t>(to);
  }
  Micros Draw(double mean_ms) {
    double ms = wires_.jitter > 0 ? random_.Lognormal(mean_ms, wires_.jitter) : mean_ms;
    for (double wait = wires_.retransmit_ms; random_.Chance(wires_.loss); wait *= 2) ms += wait;
    return FromMs(ms);
  }

  const Wires& wires_;
  std::size_t zones_;
  std::vector<Micros> cut_until_;
  Random random_;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_NETWORK_H_
