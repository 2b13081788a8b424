// SPDX-License-Identifier: Apache-2.0
//
// An exponentially weighted mean with its mean absolute deviation.
#ifndef COPPERPOINT_DECISION_RUNNING_MEAN_H_
#define COPPERPOINT_DECISION_RUNNING_MEAN_H_

#include <algorithm>
#include <cmath>

namespace copperpoint {

// `mean` and `deviation` have the unit of the samples. The first 1 / kMinGain samples have equal weights.
struct RunningMean {
  double mean = 0, deviation = 0;
  int samples = 0;

  void Add(double x) {
    const double gain = std::max(kMinGain, 1.0 / ++samples);
    if (samples == 1) {
      mean = x;
      deviation = x / 2;
    }
    deviation += gain * (std::abs(x - mean) - deviation);
    mean += gain * (x - mean);
  }

 private:
  static constexpr double kMinGain = 0.02;  // lowest weight of a new sample
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_RUNNING_MEAN_H_
