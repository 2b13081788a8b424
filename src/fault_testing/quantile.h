// SPDX-License-Identifier: Apache-2.0
#ifndef COPPERPOINT_FAULT_TESTING_QUANTILE_H_
#define COPPERPOINT_FAULT_TESTING_QUANTILE_H_

#include <algorithm>
#include <cstddef>
#include <vector>

namespace copperpoint::fault_testing {

// The smallest value that at most `share` of the values are below; 0 if there are none.
inline double Quantile(std::vector<double> of, double share) {
  if (of.empty()) return 0;
  std::sort(of.begin(), of.end());
  return of[std::min(of.size() - 1, static_cast<std::size_t>(share * static_cast<double>(of.size())))];
}

}  // namespace copperpoint::fault_testing

#endif  // COPPERPOINT_FAULT_TESTING_QUANTILE_H_
