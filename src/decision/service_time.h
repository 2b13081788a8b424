// SPDX-License-Identifier: Apache-2.0
//
// Estimates how long a request takes when it doesn't wait for others.
#ifndef COPPERPOINT_DECISION_SERVICE_TIME_H_
#define COPPERPOINT_DECISION_SERVICE_TIME_H_

#include <algorithm>

#include "copperpoint/balancer.h"

namespace copperpoint {

// The estimate is latency per ms of work, from the answers of requests of at least the mean work, in which
// overhead hardly counts. A faster answer moves it ten times as much as a slower one, so that it stays near
// the lower end, where nothing queues. Owns that factor.
class ServiceTime {
 public:
  bool known() const { return factor_ > 0; }
  // Without queueing.
  double OfWork(double work_ms) const { return factor_ * work_ms; }
  // The same where enough answers were seen to reject a request for it; 0 before.
  double ReliableOfWork(double work_ms) const { return answers_ < kMinAnswers ? 0 : work_ms * factor_; }
  // What an answer is compared with to find congestion; only where known.
  double ExpectedMs(double work_ms, double mean_work_ms, Duration latency_objective) const {
    return std::min(factor_ * std::max(work_ms, mean_work_ms / 2), 0.5 * latency_objective.count());
  }

  void OnSuccess(double work_ms, double mean_work_ms, double latency_ms) {
    if (!(work_ms >= mean_work_ms && latency_ms > 0)) return;
    const double factor = latency_ms / work_ms;
    const double gain = factor < factor_ ? 10 * kGain : kGain;
    factor_ += (++answers_ <= kEvenAnswers ? 1.0 / answers_ : gain) * (factor - factor_);
  }
  // A request was judged too large for its latency objective. Each such finding weakens the next: after a
  // slow period, a class must not stay rejected without an answer that could correct the estimate.
  void OnFoundTooLarge() { factor_ *= 1 - 5 * kGain; }

 private:
  static constexpr int kMinAnswers = 4;
  static constexpr int kEvenAnswers = 10;  // the first ones, which count evenly
  static constexpr double kGain = 0.01;    // of a slower answer

  double factor_ = 0;  // ms a ms of work; 0: not known
  int answers_ = 0;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_SERVICE_TIME_H_
