// SPDX-License-Identifier: Apache-2.0
//
// The arrival process: what clients request and when, drawn ahead of everything else from random streams of
// its own, so that every policy meets the same arrivals. Open loop: no client waits for a response before the
// next arrival.
#ifndef COPPERPOINT_SIMULATION_WORLD_ARRIVAL_PROCESS_H_
#define COPPERPOINT_SIMULATION_WORLD_ARRIVAL_PROCESS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "simulation/core/event_queue.h"
#include "simulation/core/random.h"
#include "simulation/scenario/scenario.h"
#include "simulation/world/arrival.h"
#include "simulation/world/drawn_scenario.h"

namespace copperpoint::simulation {

class ArrivalProcess {
 public:
  // Reads the replay file, if one is named; throws config::InvalidFile on a bad line of it.
  ArrivalProcess(const Scenario& scenario, const DrawnScenario& drawn);

  // The next arrival; none after the scenario's length.
  std::optional<Arrival> Next();

 private:
  double RateAt(double at_s);
  bool Draw(Arrival* arrival);
  double DrawWorkMs(const RequestClass& request_class);
  void DrawClient(Arrival* arrival);
  void TakeFromQuota(Arrival* arrival);
  std::optional<Arrival> NextReplayed();

  const Scenario& scenario_;
  Random random_;
  Random attributes_;
  Random keys_random_;
  WeightedChoice classes_;
  WeightedChoice tenants_;
  WeightedChoice zones_;
  std::optional<WeightedChoice> keys_;
  std::vector<Arrival> replay_;
  std::size_t replayed_ = 0;
  double rate_;
  double max_rate_;
  double at_s_ = 0;
  double phase_end_s_ = 0;  // of the bursty shape
  double phase_factor_ = 1;
  std::vector<double> quota_tokens_;  // by tenant
  double quota_tokens_at_s_ = 0;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_ARRIVAL_PROCESS_H_
