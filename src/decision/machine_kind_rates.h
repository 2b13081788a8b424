// SPDX-License-Identifier: Apache-2.0
//
// The rate at which backends of each machine kind serve work, relative to the mean backend.
#ifndef COPPERPOINT_DECISION_MACHINE_KIND_RATES_H_
#define COPPERPOINT_DECISION_MACHINE_KIND_RATES_H_

#include <cmath>
#include <unordered_map>

#include "copperpoint/balancer.h"

namespace copperpoint {

// Compares the work served and not the latencies, which hardly differ: a least-work pick sends a slow machine
// less until its answers take hardly longer than those of others. Only backends at full capacity count. Owns
// the sums of work and of time, which decay with the time constant `memory`.
class MachineKindRates {
 public:
  explicit MachineKindRates(Duration memory) : memory_(memory) {}

  // Records `work_ms` of work that a backend of the kind has served.
  void OnServed(int kind, double work_ms) { kinds_[kind].work_ms += work_ms; }
  // Records that one backend of the kind was in service for `elapsed_ms`.
  void OnInService(int kind, double elapsed_ms) { kinds_[kind].service_ms += elapsed_ms; }
  void Decay(Duration elapsed) {
    const double remaining = std::exp(-elapsed / memory_);
    all_ = {};
    for (auto& [kind, sums] : kinds_) {
      sums.work_ms *= remaining;
      sums.service_ms *= remaining;
      all_.work_ms += sums.work_ms;
      all_.service_ms += sums.service_ms;
    }
  }

  // Returns the rate of a backend of the kind over that of the mean backend; 1 if nothing is known. Work of
  // `prior_work_ms`, served at the mean rate, is added to what was recorded, so that a few outcomes move the
  // result little.
  double RelativeRate(int kind, double prior_work_ms) const {
    const auto found = kinds_.find(kind);
    if (found == kinds_.end() || all_.service_ms <= 0) return 1;
    const Sums& sums = found->second;
    return (sums.work_ms + prior_work_ms) /
           (sums.service_ms * all_.work_ms / all_.service_ms + prior_work_ms);
  }

 private:
  struct Sums {
    double work_ms = 0, service_ms = 0;
  };
  Duration memory_;
  std::unordered_map<int, Sums> kinds_;
  Sums all_;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_MACHINE_KIND_RATES_H_
