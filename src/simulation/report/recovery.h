// SPDX-License-Identifier: Apache-2.0
//
// Measures how a run recovered from its faults: goodput before, during and right after them, and the time
// from their end until goodput reached its previous level.
#ifndef COPPERPOINT_SIMULATION_REPORT_RECOVERY_H_
#define COPPERPOINT_SIMULATION_REPORT_RECOVERY_H_

#include <optional>
#include <vector>

#include "simulation/scenario/scenario.h"

namespace copperpoint::simulation {

// One window of a run's time line.
struct GoodputWindow {
  double at_s = 0;       // start of the window
  double requested = 0;  // value of the requests that arrived in it
  double served = 0;     // the part of it that was served in time
};

struct Recovery {
  double from_s = 0;  // start of the first fault
  double to_s = 0;    // latest end of a fault
  double before = 1;  // goodput before the first fault, without the first kLearningS seconds
  double during = 1;  // goodput from from_s to to_s
  double after = 1;   // goodput in the kAfterS seconds after to_s
  // Time from to_s until goodput over the next kStableS seconds is at least kRecoveredFraction of `before`;
  // nothing if that is never reached.
  std::optional<double> recovered_after_s;

  static constexpr double kLearningS = 2;  // policies learn in this time: goodput is not representative
  static constexpr double kAfterS = 5;
  static constexpr double kStableS = 2;
  static constexpr double kRecoveredFraction = 0.95;
};

// Returns nothing if there are no faults, if the last ends less than kAfterS before the end of the run, or if
// the first starts within kLearningS.
std::optional<Recovery> MeasureRecovery(const Scenario& scenario, const std::vector<GoodputWindow>& line);

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_REPORT_RECOVERY_H_
