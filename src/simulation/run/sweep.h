// SPDX-License-Identifier: Apache-2.0
//
// A sweep: a run for every combination of the varied keys' values, the policies and the seeds. Each of these
// points stores its result in a separate file. An interrupted sweep is resumed; a corrupted file is detected
// by its checksum, and its run is repeated.
#ifndef COPPERPOINT_SIMULATION_RUN_SWEEP_H_
#define COPPERPOINT_SIMULATION_RUN_SWEEP_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace copperpoint::simulation {

struct VariedKey {
  std::string path;  // dotted, as in config/edit.h
  std::vector<std::string> values;
};
// Parses "load.rate=100:1000:100" (first, last, step) or "clients.retry=none,fixed". Throws
// std::invalid_argument if the text has neither form.
VariedKey ParseVariedKey(const std::string& text);

struct SweepPlan {
  std::string scenario_file;
  std::string scenario_text;
  std::vector<VariedKey> varied;
  std::vector<std::string> policies;
  std::vector<std::uint64_t> seeds;
};

struct SweepReport {
  std::size_t points = 0;
  std::size_t reused = 0;       // points whose result already existed
  std::size_t corrupted = 0;    // points that were run again because their file was corrupted
  std::int64_t violations = 0;  // rule violations by `ours`
  std::uint64_t events = 0;     // events of the points run by this call
  double busy_s = 0;            // sum of the durations of these runs, in seconds of real time
};

// Calls `progress` after each point, from one thread at a time. Before the first run it throws
// std::invalid_argument if the folder contains another sweep, config::InvalidFile if the scenario of a point
// is invalid.
SweepReport Sweep(const SweepPlan& plan, const std::string& folder, unsigned threads,
                  const std::function<void(std::size_t done, std::size_t total)>& progress);

// Returns the results in the folder in the order of the points, each as {"values": {path: value}, "policy",
// "seed", "result"}. Throws std::runtime_error if the folder contains no sweep or an unfinished one.
std::vector<nlohmann::ordered_json> ReadSweep(const std::string& folder);

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_RUN_SWEEP_H_
