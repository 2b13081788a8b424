// SPDX-License-Identifier: Apache-2.0
//
// When discovery is asked for the list, where it must be asked: at once in a new life, again with a jittered
// backoff after a failure, and again if no answer comes. No clock, no I/O; which server gets what is not
// decided here.
#ifndef COPPERPOINT_DECISION_ASKING_H_
#define COPPERPOINT_DECISION_ASKING_H_

#include <algorithm>

#include "copperpoint/balancer.h"
#include "decision/measures.h"

namespace copperpoint {

inline constexpr TimePoint kNever{Duration(1e300)};

class Asking {
 public:
  // `within`: the rules want a call at least this often.
  explicit Asking(Duration within) : within_(within) {}

  // What came of the last call, or of a watch; kCached is the list that a new life starts with.
  void Heard(EndpointUpdateKind kind, TimePoint now, Random& random) {
    if (kind == EndpointUpdateKind::kCached) {
      at_ = now;
    } else if (kind == EndpointUpdateKind::kFailed) {
      // From a twentieth to a quarter of the time within which the rules want a call, and never so long that
      // a change which discovery has when it can be reached again comes too late.
      backoff_ = std::min({within_ / 4, kMostBackoff, std::max(within_ / 20, backoff_ * 2)});
      at_ = now + backoff_ * (0.5 + 0.5 * random.Unit());
    } else {
      backoff_ = Duration(0);
      at_ = kNever;
    }
  }

  // True once when it is time to ask.
  bool Due(TimePoint now) {
    if (now < at_) return false;
    at_ = now + std::min(within_ / 2, kMostAnswer);  // an answer may never come
    return true;
  }

  TimePoint at() const { return at_; }

 private:
  // A change counts as told 6 s after discovery had it and could be reached, whatever failed before.
  static constexpr Duration kMostBackoff{1000}, kMostAnswer{5000};

  Duration within_, backoff_{0};
  TimePoint at_ = kNever;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_ASKING_H_
