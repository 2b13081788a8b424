// SPDX-License-Identifier: Apache-2.0
#include "overload/state.h"

#include <cmath>
#include <utility>

namespace copperpoint::overload {

const char* NameOf(Pressure pressure) {
  switch (pressure) {
    case Pressure::kCalm:
      return "calm";
    case Pressure::kSurge:
      return "surge";
    case Pressure::kStorm:
      return "storm";
    case Pressure::kRecovery:
      return "recovery";
  }
  return "";
}

std::string State::Describe() const {
  const auto percent = [](double share) { return std::to_string(std::lround(100 * share)); };
  return std::string("overload: ") + NameOf(before_) + " to " + NameOf(state_) + "; " +
         percent(RefusedShare()) + "% of arrivals refused, " + percent(RepeatShare()) + "% repeats";
}

// What this moment looks like by itself.
Pressure State::Signs() const {
  const bool refusing = RefusedShare() > kRefusedShare;
  const bool silence = mean_.refused > 1 && mean_.answered < 0.05 * mean_.refused;
  if (silence || (refusing && RepeatShare() > kRepeatShare)) return Pressure::kStorm;
  return refusing ? Pressure::kSurge : Pressure::kCalm;
}

std::optional<Pressure> State::Judge(TimePoint now, Duration elapsed, const Counts& counts) {
  const double kept = std::exp(-elapsed / kMemory);
  const auto average = [kept](double& mean, double count) { mean = kept * mean + count; };
  average(mean_.arrived, counts.arrived);
  average(mean_.repeats, counts.repeats);
  average(mean_.refused, counts.refused);
  average(mean_.answered, counts.answered);

  const Pressure signs = Signs();
  if (signs != seen_) {
    seen_ = signs;
    seen_since_ = now;
  }
  const Duration held = now - seen_since_;
  Pressure next = state_;
  if (signs > state_ || (state_ == Pressure::kRecovery && signs != Pressure::kCalm)) {
    if (held >= kEnter) next = signs;
  } else if (state_ == Pressure::kStorm && signs != Pressure::kStorm) {
    // What was sent away comes back for a while: a storm is not followed by calm at once.
    if (held >= kLeave) next = Pressure::kRecovery;
  } else if (state_ == Pressure::kSurge && signs == Pressure::kCalm) {
    if (held >= kLeave) next = Pressure::kCalm;
  } else if (state_ == Pressure::kRecovery && now - entered_ >= kRecovers) {
    next = Pressure::kCalm;
  }
  if (next == state_) return std::nullopt;
  before_ = std::exchange(state_, next);
  entered_ = now;
  return state_;
}

}  // namespace copperpoint::overload
