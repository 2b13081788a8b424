// SPDX-License-Identifier: Apache-2.0
//
// How service went through the faults and recovered: goodput before, during and right after them, and how
// long after their end it took to be as good as before.
#ifndef COPPERPOINT_SIMULATION_REPORT_RECOVERY_H_
#define COPPERPOINT_SIMULATION_REPORT_RECOVERY_H_

#include <optional>
#include <vector>

#include "simulation/scenario/scenario.h"

namespace copperpoint::simulation {

// One window of the time line.
struct GoodputWindow {
  double at_s = 0;       // its start
  double requested = 0;  // value of the requests that arrived in it
  double served = 0;     // of that, served in time
};

struct Recovery {
  double from_s = 0;  // start of the first fault
  double to_s = 0;    // end of the last
  double before = 1;  // goodput, without the first seconds, in which policies learn
  double during = 1;
  double after = 1;  // in the kAfterS seconds after the end
  // After the end, until goodput is kRecoveredFraction of the one before and stays so for kStableS; nothing:
  // never.
  std::optional<double> recovered_after_s;

  static constexpr double kLearningS = 2;
  static constexpr double kAfterS = 5;
  static constexpr double kStableS = 2;
  static constexpr double kRecoveredFraction = 0.95;
};

// Nothing if there is no fault that ends early enough before the run, or one starts while policies still
// learn.
std::optional<Recovery> MeasureRecovery(const Scenario& scenario, const std::vector<GoodputWindow>& line);

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_REPORT_RECOVERY_H_
