// SPDX-License-Identifier: Apache-2.0
//
// An exponentially weighted mean with its mean absolute deviation.
#ifndef COPPERPOINT_DECISION_RUNNING_MEAN_H_
#define COPPERPOINT_DECISION_RUNNING_MEAN_H_

#include <algorithm>
#include <cmath>

namespace copperpoint {

// The unit of `mean` and `deviation` is that of the samples. The first samples count evenly.
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
  static constexpr double kMinGain = 0.02;  // of one sample
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_RUNNING_MEAN_H_
