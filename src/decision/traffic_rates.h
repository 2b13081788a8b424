// SPDX-License-Identifier: Apache-2.0
//
// Recent rates of this proxy's traffic: work received, work served, and answers.
#ifndef COPPERPOINT_DECISION_TRAFFIC_RATES_H_
#define COPPERPOINT_DECISION_TRAFFIC_RATES_H_

#include <algorithm>

#include "copperpoint/balancer.h"

namespace copperpoint {

// The first samples have equal weights: a proxy that has just started begins with low rates and follows what
// it observes, since sending too much at the start leaves queues that take far longer to drain. Owns the sums
// since the last sample and the averages.
class TrafficRates {
 public:
  void OnReceived(double work_ms) { received_work_ms_ += work_ms; }
  void OnSuccess(double work_ms) {
    served_work_ms_ += work_ms;
    ++successes_;
  }

  // Ends a sample of `elapsed_ms`. `backends_in_service`: BackendSetCapacity::in_service.
  void Sample(double elapsed_ms, double backends_in_service) {
    const double even_gain = 1.0 / ++samples_;
    const double answer_gain = std::min(1.0, std::max(elapsed_ms / kAnswerMemory.count(), even_gain));
    answers_per_ms_ += answer_gain * (successes_ / elapsed_ms - answers_per_ms_);
    const double work_gain = std::min(1.0, std::max(elapsed_ms / kWorkMemory.count(), even_gain));
    served_work_rate_ += work_gain * (served_work_ms_ / elapsed_ms - served_work_rate_);
    received_work_rate_ += work_gain * (received_work_ms_ / elapsed_ms - received_work_rate_);
    mean_in_service_ += work_gain * (backends_in_service - mean_in_service_);
    successes_ = served_work_ms_ = received_work_ms_ = 0;
  }

  double answers_per_ms() const { return answers_per_ms_; }
  // Rates of work, in ms of work per ms.
  double served_work_rate() const { return served_work_rate_; }
  double received_work_rate() const { return received_work_rate_; }
  double mean_in_service() const { return mean_in_service_; }  // in backends

 private:
  static constexpr Duration kAnswerMemory{1500}, kWorkMemory{8000};

  double successes_ = 0, served_work_ms_ = 0, received_work_ms_ = 0;  // since the last sample
  int samples_ = 0;
  double answers_per_ms_ = 0, served_work_rate_ = 0, received_work_rate_ = 0, mean_in_service_ = 0;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_TRAFFIC_RATES_H_
