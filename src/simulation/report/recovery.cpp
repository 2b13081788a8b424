// SPDX-License-Identifier: Apache-2.0
#include "simulation/report/recovery.h"

#include <algorithm>

namespace copperpoint::simulation {
namespace {

constexpr double kRounding = 1e-9;  // tolerance of comparisons of times, in seconds

double GoodputBetween(const std::vector<GoodputWindow>& line, double from_s, double to_s) {
  double requested = 0;
  double served = 0;
  for (const GoodputWindow& window : line) {
    if (window.at_s < from_s - kRounding || window.at_s >= to_s - kRounding) continue;
    requested += window.requested;
    served += window.served;
  }
  return requested > 0 ? served / requested : 1;
}

std::optional<double> RecoveredAfter(const Scenario& scenario, const std::vector<GoodputWindow>& line,
                                     const Recovery& recovery) {
  for (const GoodputWindow& window : line) {
    const double stable_until_s = window.at_s + Recovery::kStableS;
    if (window.at_s < recovery.to_s || stable_until_s > scenario.length_s) continue;
    const double goodput = GoodputBetween(line, window.at_s, stable_until_s);
    if (goodput >= Recovery::kRecoveredFraction * recovery.before) return window.at_s - recovery.to_s;
  }
  return std::nullopt;
}

}  // namespace

std::optional<Recovery> MeasureRecovery(const Scenario& scenario, const std::vector<GoodputWindow>& line) {
  if (scenario.faults.empty()) return std::nullopt;
  Recovery recovery;
  recovery.from_s = scenario.faults.front().at_s;
  for (const Fault& fault : scenario.faults) {
    recovery.from_s = std::min(recovery.from_s, fault.at_s);
    recovery.to_s = std::max(recovery.to_s, fault.at_s + fault.for_s);
  }
  if (recovery.from_s <= Recovery::kLearningS) return std::nullopt;
  if (recovery.to_s + Recovery::kAfterS > scenario.length_s) return std::nullopt;
  recovery.before = GoodputBetween(line, Recovery::kLearningS, recovery.from_s);
  recovery.during = GoodputBetween(line, recovery.from_s, recovery.to_s);
  recovery.after = GoodputBetween(line, recovery.to_s, recovery.to_s + Recovery::kAfterS);
  recovery.recovered_after_s = RecoveredAfter(scenario, line, recovery);
  return recovery;
}

}  // namespace copperpoint::simulation
