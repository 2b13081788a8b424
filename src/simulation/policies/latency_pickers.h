// SPDX-License-Identifier: Apache-2.0
//
// Pickers that weight backends by their latency.
#ifndef COPPERPOINT_SIMULATION_POLICIES_LATENCY_PICKERS_H_
#define COPPERPOINT_SIMULATION_POLICIES_LATENCY_PICKERS_H_

#include <vector>

#include "simulation/policies/simple_pickers.h"

namespace copperpoint::simulation {

// Peak EWMA (Twitter Finagle): picks the cheaper of two random backends. The cost is an exponentially
// weighted moving average of round trips, which rises to a peak at once and decays with time, times requests
// in flight.
class PeakEwma : public TwoChoices {
 public:
  using TwoChoices::TwoChoices;
  void Resize(std::size_t count) override { averages_.resize(count); }
  void OnCompleted(TimePoint now, int index, bool success, double duration_ms) override;

 protected:
  double Cost(TimePoint now, const Candidate& backend, int index) const override;

 private:
  struct Average {
    double cost_ms = 0;  // 0: no response yet
    TimePoint at{};
  };
  std::vector<Average> averages_;
};

// Picks a backend at random, weighted by the inverse of its recent mean latency.
class LatencyWeighted : public RandomPicker {
 public:
  using RandomPicker::RandomPicker;
  void Resize(std::size_t count) override { mean_ms_.resize(count, 0); }
  void OnCompleted(TimePoint now, int index, bool success, double duration_ms) override;
  int Pick(TimePoint now, const std::vector<Candidate>& all, const std::vector<int>& ready,
           const std::vector<int>& tried) override;

 private:
  double Weight(int index) const;

  std::vector<double> mean_ms_;  // by backend; 0: no response yet
  double overall_mean_ms_ = 0;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_POLICIES_LATENCY_PICKERS_H_
