// SPDX-License-Identifier: Apache-2.0
//
// Decides how many attempts a proxy may have in flight.
#ifndef COPPERPOINT_DECISION_CONCURRENCY_LIMIT_H_
#define COPPERPOINT_DECISION_CONCURRENCY_LIMIT_H_

#include "copperpoint/balancer.h"

namespace copperpoint {

// By Little's law the attempts in flight are the rate of answers times their latency. More than
// kMaxObjectiveFraction of the latency objective at the current rate could only queue at the backends, and
// more than kMaxLatencyMultiple times the uncongested latency makes some backends slower the more they hold,
// a state from which they don't recover under load. Requests over the limit are queued in the proxy.
// Attempts are counted, not weighed by work: one huge request must neither be shut out nor shut out all
// others.
//
// Owns the counts of attempts and the congestion: the latency of answers over what they take uncongested.
class ConcurrencyLimit {
 public:
  struct Inputs {
    double answers_per_ms = 0;  // of late
    double mean_objective_ms = 0;
    double uncongested_latency_ms = 0;  // of a mean request; the mean objective while that is not known
    double ready_capacity = 0;          // backends listed as ready, one that is warming up as its fraction
    int proxy_count = 1;
  };
  // Whether another attempt may start.
  bool HasCapacity(const Inputs& inputs) const;

  void OnAttemptStarted() { ++in_flight_; }
  void OnAttemptEnded(bool overdue) {
    --in_flight_;
    overdue_ -= overdue;
  }
  // An attempt is outstanding for longer than its answer takes: it uses no backend's time and doesn't count.
  // Without this, a dozen attempts on dead connections would use up the limit while all backends are idle.
  void OnOverdue() { ++overdue_; }
  int in_flight() const { return in_flight_; }

  // An answer, and what it would usually take uncongested.
  void OnLatency(double latency_ms, double uncongested_ms);
  void Decay(Duration elapsed);

 private:
  double MinInFlight() const;

  int in_flight_ = 0, overdue_ = 0;  // attempts; those in flight that are overdue
  double congestion_ = 3;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_CONCURRENCY_LIMIT_H_
