// SPDX-License-Identifier: Apache-2.0
//
// Runs independent jobs on several threads.
#ifndef COPPERPOINT_SIMULATION_RUN_PARALLEL_H_
#define COPPERPOINT_SIMULATION_RUN_PARALLEL_H_

#include <cstddef>
#include <functional>

namespace copperpoint::simulation {

// Calls job(0) to job(count - 1), each once. With `threads` 0, it uses one thread per core. After an
// exception no further job is started; the first exception is rethrown when all threads have ended.
void RunInParallel(std::size_t count, unsigned threads, const std::function<void(std::size_t)>& job);

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_RUN_PARALLEL_H_
