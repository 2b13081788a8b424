// SPDX-License-Identifier: Apache-2.0
//
// Decides how many attempts a proxy may have in flight.
#ifndef COPPERPOINT_DECISION_CONCURRENCY_LIMIT_H_
#define COPPERPOINT_DECISION_CONCURRENCY_LIMIT_H_

#include "copperpoint/balancer.h"

namespace copperpoint {

// By Little's law the number of attempts in flight is the rate of answers times their latency. At the current
// rate of answers, attempts beyond a latency of kMaxObjectiveFraction of the latency objective would only
// queue at the backends. Beyond kMaxLatencyMultiple times the uncongested latency, some backends get slower
// with each attempt that they hold, and don't recover under load. Requests over the limit are queued in the
// proxy. Attempts are counted and not weighted by work, so that one huge request is neither shut out nor
// shuts out all others.
//
// Owns the counts of attempts and the congestion: the average ratio of latency to uncongested latency.
class ConcurrencyLimit {
 public:
  struct Inputs {
    double answers_per_ms = 0;          // recent rate of answers, TrafficRates::answers_per_ms()
    double mean_objective_ms = 0;       // mean latency objective of the requests
    double uncongested_latency_ms = 0;  // of a request of mean work; mean_objective_ms while it isn't known
    double ready_capacity = 0;          // BackendSetCapacity::ready
    int proxy_count = 1;
  };
  // Returns whether another attempt may start.
  bool HasCapacity(const Inputs& inputs) const;

  void OnAttemptStarted() { ++in_flight_; }
  void OnAttemptEnded(bool overdue) {
    --in_flight_;
    overdue_ -= overdue;
  }
  // An attempt has become overdue: outstanding for longer than its answer would take. It uses no backend's
  // time and no longer counts. Without this, a dozen attempts on dead connections would use up the limit
  // while all backends are idle.
  void OnOverdue() { ++overdue_; }
  int in_flight() const { return in_flight_; }

  // Records an answer that took `latency_ms` and would take `uncongested_ms` without congestion.
  void OnLatency(double latency_ms, double uncongested_ms);
  // Moves the congestion towards 1 for the last `elapsed`.
  void Decay(Duration elapsed);

 private:
  double MinInFlight() const;

  int in_flight_ = 0, overdue_ = 0;  // all attempts in flight; the overdue ones among them
  double congestion_ = 3;            // 1: no congestion
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_CONCURRENCY_LIMIT_H_
