// SPDX-License-Identifier: Apache-2.0
//
// What a run is worth and how long its answers took. Worth counts by work: a request's class worth times its
// work, less where its account is beyond its share. A client's repeats belong to its first try.
#ifndef COPPERPOINT_SIMULATION_REPORT_METRICS_H_
#define COPPERPOINT_SIMULATION_REPORT_METRICS_H_

#include <boost/histogram.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

#include "simulation/core/queue.h"
#include "simulation/report/recovery.h"
#include "simulation/scenario/scenario.h"

namespace copperpoint::simulation {

// Latencies from 10 us to 1000 s, to about 1%.
class Latency {
 public:
  Latency();
  void Add(double ms) { histogram_(ms), sum_ms_ += ms; }
  double Mean() const { return count() > 0 ? sum_ms_ / static_cast<double>(count()) : 0; }
  double Quantile(double q) const;  // in ms, 0 when empty; a bin's geometric middle
  std::int64_t count() const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint64_t>> histogram_;
  double sum_ms_ = 0;
};

struct Worth {
  double asked = 0, got = 0;
  double Share() const { return asked > 0 ? got / asked : 1; }
};

class Metrics {
 public:
  explicit Metrics(const Scenario& scenario);

  // A client's wish, once, at its first try; the result is passed to Done.
  void Asked(Micros at, int cls, int account, double worth);
  // Its answer, `took_ms` after its first try.
  void Served(Micros first_at, int cls, int account, double worth, double took_ms, bool in_time, bool repeat);

  std::int64_t first_tries = 0, tries = 0, served = 0, in_time = 0, late = 0, late_repeats = 0, refused = 0,
               failed = 0;
  std::int64_t attempts = 0, turned_away = 0, errors = 0, timeouts = 0, connect_failed = 0, resets = 0;
  std::int64_t connections = 0, cross_zone = 0, probes = 0, unreachable = 0, discovery_calls = 0;
  // Tries of whose wish an earlier one came to the same proxy; those taken for repeats, rightly and wrongly.
  std::int64_t repeats_here = 0, recognised = 0, mistaken = 0;
  double executed_ms = 0, useful_ms = 0;

  // One sample of the connections of each backend: their mean, and the mean of their squares.
  void ConnectionsLie(double mean, double mean_square);

  double Goodput() const { return whole_.Share(); }
  double WorstClass() const { return Worst(classes_); }
  // The mix that the scenario's goal asks for, of 1.
  double ObjectiveScore() const;
  double WorstAccount() const { return Worst(accounts_); }
  double Wasted() const { return executed_ms > 0 ? 1 - useful_ms / executed_ms : 0; }
  double AttemptsPerRequest() const;
  const Latency& latency() const { return latency_; }

  std::vector<Stretch> TimeLine() const;
  nlohmann::ordered_json Json() const;

 private:
  struct Window {
    Worth worth;
    Latency latency;
  };
  static double Worst(const std::vector<Worth>& parts);
  Window& At(Micros at);

  const Scenario& scenario_;
  double connections_mean_ = 0, connections_cv_ = 0;  // summed over the samples
  int connections_samples_ = 0;
  Worth whole_;
  std::vector<Worth> classes_, accounts_;
  std::vector<Window> windows_;
  Latency latency_;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_REPORT_METRICS_H_
