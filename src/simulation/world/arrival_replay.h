// SPDX-License-Identifier: Apache-2.0
//
// Reads a file of recorded arrivals, which a simulation replays instead of drawing arrivals.
#ifndef COPPERPOINT_SIMULATION_WORLD_ARRIVAL_REPLAY_H_
#define COPPERPOINT_SIMULATION_WORLD_ARRIVAL_REPLAY_H_

#include <vector>

#include "simulation/scenario/scenario.h"
#include "simulation/world/arrival.h"

namespace copperpoint::simulation {

// The arrivals in the file that the scenario names, one "at_ms,class,account,key,work_ms" per line. Lines
// that start with '#' are comments. Throws config::InvalidFile with an error for each bad line.
std::vector<Arrival> ReadArrivalReplay(const Scenario& scenario);

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_WORLD_ARRIVAL_REPLAY_H_
