// SPDX-License-Identifier: Apache-2.0
//
// Rates of this proxy's traffic of late: work received, work served, answers.
#ifndef COPPERPOINT_DECISION_TRAFFIC_RATES_H_
#define COPPERPOINT_DECISION_TRAFFIC_RATES_H_

#include <algorithm>

#include "copperpoint/balancer.h"

namespace copperpoint {

// Owns the sums since the last sample and the averages. The first samples count evenly: a proxy that has just
// started begins with small rates and trusts what it sees, since sending too much at the start leaves queues
// that take far longer to drain.
class TrafficRates {
 public:
  void OnReceived(double work_ms) { received_work_ms_ += work_ms; }
  void OnSuccess(double work_ms) {
    served_work_ms_ += work_ms;
    ++successes_;
  }

  // Ends a sample of `elapsed_ms`, in which `backends_in_service` (see BackendSetCapacity) served.
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
  // ms of work a ms.
  double served_work_rate() const { return served_work_rate_; }
  double received_work_rate() const { return received_work_rate_; }
  double mean_in_service() const { return mean_in_service_; }  // backends

 private:
  static constexpr Duration kAnswerMemory{1500}, kWorkMemory{8000};

  double successes_ = 0, served_work_ms_ = 0, received_work_ms_ = 0;  // since the last sample
  int samples_ = 0;
  double answers_per_ms_ = 0, served_work_rate_ = 0, received_work_rate_ = 0, mean_in_service_ = 0;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_TRAFFIC_RATES_H_
