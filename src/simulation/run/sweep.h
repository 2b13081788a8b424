// SPDX-License-Identifier: Apache-2.0
//
// A sweep: every combination of the varied keys' values, of policies and of seeds, each a run whose result is
// a file of its own. A sweep that was killed goes on where it stopped; a file that is torn is noticed by its
// checksum and done anew.
#ifndef COPPERPOINT_SIMULATION_RUN_SWEEP_H_
#define COPPERPOINT_SIMULATION_RUN_SWEEP_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace copperpoint::simulation {

// "load.rate=100:1000:100" (first, last, step) or "clients.retry=none,fixed". Throws std::invalid_argument.
struct Varied {
  std::string path;
  std::vector<std::string> values;
};
Varied ParseVaried(const std::string& text);

struct SweepPlan {
  std::string scenario_file, scenario_text;
  std::vector<Varied> varied;
  std::vector<std::string> policies;
  std::vector<std::uint64_t> seeds;
};

struct SweepReport {
  std::size_t points = 0, done_before = 0, torn = 0;
  std::int64_t broken = 0;   // rules broken by `ours`
  std::uint64_t events = 0;  // of the points run now
  double busy_s = 0;         // of cores, for these
};

// Throws std::invalid_argument where the folder holds another sweep, config::BadFile where a point makes the
// scenario invalid; nothing has run then.
SweepReport Sweep(const SweepPlan& plan, const std::string& folder, unsigned threads,
                  const std::function<void(std::size_t done, std::size_t all)>& progress);

// The results of a folder, in order: {"values": {path: value}, "policy", "seed", "result"}. Throws
// std::runtime_error if it is no sweep, or not finished.
std::vector<nlohmann::ordered_json> ReadSweep(const std::string& folder);

// The scenario's goal (goodput, if it sets none) in the mean of the seeds: a line for each combination of
// values, a column for each policy, and how much of the oracle's ours has, where both ran. Then, where runs
// have a trouble that ends, how many of them were as good as before within Recovery::kAfterS, and the goodput
// of that time.
std::string SweepTable(const std::vector<nlohmann::ordered_json>& results);

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_RUN_SWEEP_H_
