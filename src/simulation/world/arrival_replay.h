// SPDX-License-Identifier: Apache-2.0
//
// Reads a file of recorded arrivals.
#ifndef COPPERPOINT_SIMULATION_WORLD_ARRIVAL_REPLAY_H_
#define COPPERPOINT_SIMULATION_WORLD_ARRIVAL_REPLAY_H_

#include <vector>

#include "simulation/scenario/scenario.h"
#include "simulation/world/arrival.h"

namespace copperpoint::simulation {

// The arrivals of the file that the scenario names: "at_ms,class,account,key,work_ms" a line, '#' begins a
// comment. Throws config::InvalidFile with all bad lines.
std::vector<Arrival> ReadArrivalReplay(const Scenario& scenario);

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_ARRIVAL_REPLAY_H_
