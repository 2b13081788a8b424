// SPDX-License-Identifier: Apache-2.0
//
// A histogram of latencies from 10 us to 1000 s, to about 1%.
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
  // In milliseconds; 0 when empty.
  double Mean() const;
  // In milliseconds: the geometric middle of a bin, 0 when empty. `q` from 0 to 1.
  double Quantile(double q) const;
  std::int64_t count() const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint64_t>> histogram_;
  double sum_ms_ = 0;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_REPORT_LATENCY_HISTOGRAM_H_
