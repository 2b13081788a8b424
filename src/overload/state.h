// SPDX-License-Identifier: Apache-2.0
//
// What kind of overload there is, for those on call: it decides nothing. Judged a few times a second by what
// was refused, how much of it came again, and whether anybody was answered at all. A state is entered when
// its signs have held for a while and left only when they have been gone for longer, so that it does not
// flap.
#ifndef COPPERPOINT_OVERLOAD_STATE_H_
#define COPPERPOINT_OVERLOAD_STATE_H_

#include <optional>
#include <string>

#include "copperpoint/balancer.h"

namespace copperpoint::overload {

// calm: all are served. surge: more is asked than can be served, by clients' first tries. storm: a good part
// of what is asked are repeats, or nobody is answered. recovery: a storm is over, its backlog may still come.
enum class Pressure { kCalm, kSurge, kStorm, kRecovery };
const char* NameOf(Pressure pressure);

// Counts since the last call.
struct Counts {
  double arrived = 0, repeats = 0;  // repeats: those of the arrived that were recognised as such
  double refused = 0, answered = 0;
};

class State {
 public:
  static constexpr double kRefusedShare = 0.05;  // of arrivals, from which it is no calm
  static constexpr double kRepeatShare = 0.2;    // of arrivals, from which it is a storm
  static constexpr Duration kEnter{500}, kLeave{2000}, kRecovers{5000};
  static constexpr Duration kMemory{500};  // averaging of the counts

  // The new state, when it changes.
  std::optional<Pressure> Judge(TimePoint now, Duration elapsed, const Counts& counts);
  Pressure now() const { return state_; }
  // The last change, and what it rests on.
  std::string Describe() const;
  // Of the arrivals of late.
  double RefusedShare() const { return mean_.arrived > 0 ? mean_.refused / mean_.arrived : 0; }
  double RepeatShare() const { return mean_.arrived > 0 ? mean_.repeats / mean_.arrived : 0; }

 private:
  Pressure Signs() const;

  Counts mean_;
  Pressure state_ = Pressure::kCalm, before_ = Pressure::kCalm, seen_ = Pressure::kCalm;
  TimePoint seen_since_{}, entered_{};
};

}  // namespace copperpoint::overload

#endif  // COPPERPOINT_OVERLOAD_STATE_H_
