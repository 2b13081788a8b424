// SPDX-License-Identifier: Apache-2.0
#include "simulation/report/recovery.h"

#include <algorithm>

namespace copperpoint::simulation {
namespace {

double Share(const std::vector<Stretch>& line, double from_s, double to_s) {
  constexpr double kRounding = 1e-9;
  double asked = 0, got = 0;
  for (const Stretch& s : line) {
    if (s.at_s < from_s - kRounding || s.at_s >= to_s - kRounding) continue;
    asked += s.asked;
    got += s.got;
  }
  return asked > 0 ? got / asked : 1;
}

}  // namespace

std::optional<Recovery> RecoveryOf(const Scenario& scenario, const std::vector<Stretch>& line) {
  if (scenario.troubles.empty()) return std::nullopt;
  Recovery r;
  r.from_s = scenario.troubles.front().at_s;
  for (const Trouble& t : scenario.troubles) {
    r.from_s = std::min(r.from_s, t.at_s);
    r.to_s = std::max(r.to_s, t.at_s + t.for_s);
  }
  if (r.from_s <= Recovery::kLearningS || r.to_s + Recovery::kAfterS > scenario.length_s) return std::nullopt;
  r.before = Share(line, Recovery::kLearningS, r.from_s);
  r.during = Share(line, r.from_s, r.to_s);
  r.after = Share(line, r.to_s, r.to_s + Recovery::kAfterS);
  for (const Stretch& s : line) {
    if (s.at_s < r.to_s || s.at_s + Recovery::kFirmS > scenario.length_s) continue;
    if (Share(line, s.at_s, s.at_s + Recovery::kFirmS) < Recovery::kAsGood * r.before) continue;
    r.back_s = s.at_s - r.to_s;
    break;
  }
  return r;
}

}  // namespace copperpoint::simulation
