// SPDX-License-Identifier: Apache-2.0
//
// Estimates the latency of a request that doesn't have to wait for others: its service time.
#ifndef COPPERPOINT_DECISION_SERVICE_TIME_H_
#define COPPERPOINT_DECISION_SERVICE_TIME_H_

#include <algorithm>

#include "copperpoint/balancer.h"

namespace copperpoint {

// The estimate is a factor: latency per ms of work. It is averaged over the answers of requests of at least
// the mean work, for which overhead hardly matters. A faster answer has ten times the weight of a slower one,
// so that the factor stays near the lowest latencies, which include no queueing. Owns the factor.
class ServiceTime {
 public:
  bool known() const { return factor_ > 0; }
  // Returns the service time in ms; 0 while it isn't known.
  double OfWork(double work_ms) const { return factor_ * work_ms; }
  // Returns the service time in ms if it is based on enough answers to reject a request for it; 0 before.
  double ReliableOfWork(double work_ms) const { return answers_ < kMinAnswers ? 0 : work_ms * factor_; }
  // Returns the uncongested latency in ms, with which an answer is compared to find congestion. Requires
  // known().
  double ExpectedMs(double work_ms, double mean_work_ms, Duration latency_objective) const {
    return std::min(factor_ * std::max(work_ms, mean_work_ms / 2), 0.5 * latency_objective.count());
  }

  // Records a successful answer.
  void OnSuccess(double work_ms, double mean_work_ms, double latency_ms) {
    if (!(work_ms >= mean_work_ms && latency_ms > 0)) return;
    const double factor = latency_ms / work_ms;
    const double gain = factor < factor_ ? 10 * kGain : kGain;
    factor_ += (++answers_ <= kEvenAnswers ? 1.0 / answers_ : gain) * (factor - factor_);
  }
  // Records that a request was found too large for its latency objective, and lowers the factor. Without
  // this, the requests of a class that was slow for a while would stay rejected, since no answer could
  // correct the estimate.
  void OnFoundTooLarge() { factor_ *= 1 - 5 * kGain; }

 private:
  static constexpr int kMinAnswers = 4;    // for ReliableOfWork
  static constexpr int kEvenAnswers = 10;  // this many first answers have equal weights
  static constexpr double kGain = 0.01;    // weight of a slower answer

  double factor_ = 0;  // ms of latency per ms of work; 0: not known
  int answers_ = 0;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_SERVICE_TIME_H_
