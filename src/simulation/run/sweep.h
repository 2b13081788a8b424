// SPDX-License-Identifier: Apache-2.0
//
// A sweep: every combination of the varied keys' values, of policies and of seeds, each a run whose result is
// a file of its own. An interrupted sweep is resumed; a corrupted file is detected by its checksum, and its
// run repeated.
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
// "load.rate=100:1000:100" (first, last, step) or "clients.retry=none,fixed". Throws std::invalid_argument.
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
  std::size_t reused = 0;       // points whose result was there
  std::size_t corrupted = 0;    // points whose file was corrupted, and were run again
  std::int64_t violations = 0;  // of the rules, by `ours`
  std::uint64_t events = 0;     // of the points run now
  double busy_s = 0;            // processor time of these
};

// Calls `progress` after each point, from one thread at a time. Throws std::invalid_argument where the folder
// holds another sweep, config::InvalidFile where a point makes the scenario invalid; nothing has run then.
SweepReport Sweep(const SweepPlan& plan, const std::string& folder, unsigned threads,
                  const std::function<void(std::size_t done, std::size_t total)>& progress);

// The results of a folder, in order: {"values": {path: value}, "policy", "seed", "result"}. Throws
// std::runtime_error if it is no sweep, or not finished.
std::vector<nlohmann::ordered_json> ReadSweep(const std::string& folder);

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_RUN_SWEEP_H_
