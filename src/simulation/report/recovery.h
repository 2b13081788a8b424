// SPDX-License-Identifier: Apache-2.0
//
// How service went through a trouble and came back: goodput before, meanwhile, and right after, and how long
// after the trouble's end it took to be as good as before.
#ifndef COPPERPOINT_SIMULATION_REPORT_RECOVERY_H_
#define COPPERPOINT_SIMULATION_REPORT_RECOVERY_H_

#include <optional>
#include <vector>

#include "simulation/scenario/scenario.h"

namespace copperpoint::simulation {

// One window of the time line.
struct Stretch {
  double at_s = 0, asked = 0, got = 0;  // its start; worth asked in it, and of that, got in time
};

struct Recovery {
  double from_s = 0, to_s = 0;  // the first trouble's start, the last one's end
  double before = 1;            // goodput, less the first seconds, in which policies learn
  double during = 1;
  double after = 1;  // in the seconds after the end within which it should be over
  // After the end, until goodput is kAsGood of the one before, and stays so for kFirmS; nothing: never.
  std::optional<double> back_s;

  static constexpr double kLearningS = 2, kAfterS = 5, kFirmS = 2, kAsGood = 0.95;
};

// Nothing if there is no trouble that ends early enough to tell, or it begins before policies have learnt.
std::optional<Recovery> RecoveryOf(const Scenario& scenario, const std::vector<Stretch>& line);

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_REPORT_RECOVERY_H_
