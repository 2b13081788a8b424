// SPDX-License-Identifier: Apache-2.0
//
// The arrival process: which first requests clients send, and when. They are drawn from random streams of
// their own, so that every policy gets the same arrivals. The process is an open loop: arrivals do not wait
// for responses to earlier ones.
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
  // Reads the replay file, if the scenario names one. Throws config::InvalidFile if it has bad lines.
  ArrivalProcess(const Scenario& scenario, const DrawnScenario& drawn);

  // Returns the next arrival in order of time; none after the scenario's length.
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
  double rate_;                       // mean rate, in requests a second
  double max_rate_;                   // upper bound of RateAt
  double at_s_ = 0;                   // time of the latest drawn arrival
  double phase_end_s_ = 0;            // ArrivalShape::kBursty: the end of the current period of constant rate
  double phase_factor_ = 1;           // its rate over the mean rate
  std::vector<double> quota_tokens_;  // by tenant
  double quota_tokens_at_s_ = 0;      // when they were last refilled
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_ARRIVAL_PROCESS_H_
