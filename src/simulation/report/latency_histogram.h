// SPDX-License-Identifier: Apache-2.0
//
// A histogram of latencies from 10 us to 1000 s with a relative resolution of about 1%.
#ifndef COPPERPOINT_SIMULATION_REPORT_LATENCY_HISTOGRAM_H_
#define COPPERPOINT_SIMULATION_REPORT_LATENCY_HISTOGRAM_H_

#include <boost/histogram.hpp>
#include <cstdint>
#include <tuple>

namespace copperpoint::simulation {

class LatencyHistogram {
 public:
  LatencyHistogram();
  void Add(double ms);
  // Returns the mean in milliseconds, 0 if the histogram is empty.
  double Mean() const;
  // Returns the geometric mean of the bounds of the bin with the quantile `q` (0 to 1), in milliseconds; 0 if
  // the histogram is empty.
  double Quantile(double q) const;
  std::int64_t count() const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint64_t>> histogram_;
  double sum_ms_ = 0;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_REPORT_LATENCY_HISTOGRAM_H_
