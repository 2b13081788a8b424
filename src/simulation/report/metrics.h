// SPDX-License-Identifier: Apache-2.0
//
// The metrics of a run: which share of the requested value was served in time, and the latencies of
// responses. The value of a request is its work times the priority weight of its class, reduced if its tenant
// exceeds its quota. Client retries are attributed to the first request that they repeat.
#ifndef COPPERPOINT_SIMULATION_REPORT_METRICS_H_
#define COPPERPOINT_SIMULATION_REPORT_METRICS_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

#include "simulation/core/event_queue.h"
#include "simulation/report/latency_histogram.h"
#include "simulation/report/recovery.h"
#include "simulation/scenario/scenario.h"

namespace copperpoint::simulation {

// The total value of requests, and the part of it that was served in time.
struct ServedValue {
  double requested = 0;
  double served = 0;
  double Fraction() const { return requested > 0 ? served / requested : 1; }
};

// A response that reached its client.
struct ServedResponse {
  Micros arrived_at = 0;  // arrival of the first request
  int request_class = 0;
  int tenant = 0;
  double value = 0;
  double latency_ms = 0;  // since the first request
  bool in_time = false;   // within the latency objective
  bool is_retry = false;
};

class Metrics {
 public:
  explicit Metrics(const Scenario& scenario);

  void OnArrival(Micros at, int request_class, int tenant, double value);
  void OnServed(const ServedResponse& response);
  // Adds one sample of the connection counts of the backends: their mean and the mean of their squares.
  void OnConnectionSample(double mean, double mean_square);

  // Counters, incremented by the components of the simulation.
  std::int64_t first_requests = 0;
  std::int64_t client_requests = 0;  // including client retries
  std::int64_t served = 0;
  std::int64_t in_time = 0;
  std::int64_t late = 0;
  std::int64_t late_retries = 0;
  std::int64_t rejected = 0;
  std::int64_t failed = 0;
  std::int64_t attempts = 0;
  std::int64_t backend_rejections = 0;
  std::int64_t server_errors = 0;
  std::int64_t attempt_timeouts = 0;
  std::int64_t connect_failures = 0;
  std::int64_t connection_resets = 0;
  std::int64_t connections = 0;
  std::int64_t cross_zone_attempts = 0;
  std::int64_t probes = 0;
  std::int64_t unreachable_proxies = 0;
  std::int64_t discovery_polls = 0;
  std::int64_t client_retries_at_same_proxy = 0;
  std::int64_t detected_retries = 0;  // client retries that the proxy detected as such
  std::int64_t false_retries = 0;     // first requests wrongly detected as retries
  double executed_ms = 0;             // work executed by backends
  double useful_ms = 0;               // the part of it whose responses were served

  double Goodput() const { return overall_.Fraction(); }
  double WorstClass() const { return WorstOf(classes_); }
  double WorstTenant() const { return WorstOf(tenants_); }
  // The mean of overall, worst class's and worst tenant's goodput, weighted by the scenario's objective; 0
  // to 1.
  double ObjectiveScore() const;
  double WastedWork() const { return executed_ms > 0 ? 1 - useful_ms / executed_ms : 0; }
  double AttemptsPerRequest() const;
  const LatencyHistogram& latency() const { return latency_; }

  std::vector<GoodputWindow> TimeLine() const;
  nlohmann::ordered_json Json() const;

 private:
  struct Window {
    ServedValue value;
    LatencyHistogram latency;
  };
  static double WorstOf(const std::vector<ServedValue>& parts);
  Window& WindowAt(Micros at);
  nlohmann::ordered_json CountersJson() const;
  nlohmann::ordered_json WindowsJson() const;

  const Scenario& scenario_;
  double connections_mean_sum_ = 0;  // over all samples
  double connections_cv_sum_ = 0;    // coefficients of variation, over all samples
  int connection_samples_ = 0;
  ServedValue overall_;
  std::vector<ServedValue> classes_;
  std::vector<ServedValue> tenants_;
  std::vector<Window> windows_;
  LatencyHistogram latency_;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_REPORT_METRICS_H_
