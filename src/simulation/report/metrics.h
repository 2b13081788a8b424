// SPDX-License-Identifier: Apache-2.0
//
// The figures of a run: how much was served in time, and how long responses took. Service counts by value: a
// request's work times its class's priority weight, less where its tenant is over its quota. Client retries
// belong to the arrival that they repeat.
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

// The value of requests, and of that, served in time.
struct ServedValue {
  double requested = 0;
  double served = 0;
  double Fraction() const { return requested > 0 ? served / requested : 1; }
};

// A response that reached its client.
struct ServedResponse {
  Micros arrived_at = 0;  // of the first request
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
  // One sample of the connections of the backends: their mean, and the mean of their squares.
  void OnConnectionSample(double mean, double mean_square);

  // Counters, which the parts of the simulation increase.
  std::int64_t first_requests = 0;
  std::int64_t client_requests = 0;  // with client retries
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
  std::int64_t detected_retries = 0;  // client retries that the detector recognized
  std::int64_t false_retries = 0;     // first requests that it took for retries
  double executed_ms = 0;             // work done by backends
  double useful_ms = 0;               // of that, for responses that were served

  double Goodput() const { return overall_.Fraction(); }
  double WorstClass() const { return WorstOf(classes_); }
  double WorstTenant() const { return WorstOf(tenants_); }
  // The weighted mean that the scenario's objective asks for, between 0 and 1.
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
  double connections_mean_sum_ = 0;  // over the samples
  double connections_cv_sum_ = 0;
  int connection_samples_ = 0;
  ServedValue overall_;
  std::vector<ServedValue> classes_;
  std::vector<ServedValue> tenants_;
  std::vector<Window> windows_;
  LatencyHistogram latency_;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_REPORT_METRICS_H_
