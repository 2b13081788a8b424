// SPDX-License-Identifier: Apache-2.0
//
// Decides when a zone is taken out of service because none of its backends answers.
#ifndef COPPERPOINT_DECISION_ZONE_OUTAGE_DETECTOR_H_
#define COPPERPOINT_DECISION_ZONE_OUTAGE_DETECTOR_H_

#include <boost/unordered/unordered_flat_map.hpp>

#include "copperpoint/balancer.h"
#include "decision/backend_state.h"
#include "decision/never.h"
#include "decision/random.h"

namespace copperpoint {

// A network cut or the loss of a zone concerns all of its backends at once; found backend by backend, each
// would cost a connect timeout or a client's deadline, over and over. kUnansweredAttempts in a row, at
// several backends of the zone and while other zones answer, take it out of service for about as long as an
// ejection. Any answer from the zone ends the outage.
//
// Owns what is known of the zones. An answer is any response, also an error or a rejection.
class ZoneOutageDetector {
 public:
  static constexpr int kUnansweredAttempts = 3;

  void OnAnswer(int zone, TimePoint now);
  // An attempt without an answer; true if the zone is out of service from now on.
  bool OnNoAnswer(int zone, BackendIndex backend, TimePoint now, Random& random);

  bool InOutage(int zone, TimePoint now) const { return StateOf(zone).outage_until > now; }
  // The last answer of the zone, and of any zone.
  TimePoint LastAnswer(int zone) const { return StateOf(zone).last_answer; }
  TimePoint last_answer() const { return last_answer_; }

  // When the next outage ends. Between ResetNextReturn and the last call of UpdateReturn that time is found
  // anew: call it for the zone of each backend. UpdateReturn returns whether the zone is still out.
  void ResetNextReturn() { next_return_at_ = kNever; }
  bool UpdateReturn(int zone, TimePoint now);
  TimePoint next_return_at() const { return next_return_at_; }

 private:
  struct Zone {
    int unanswered = 0;  // attempts in a row
    BackendIndex last_unanswered = 0;
    bool several_backends = false;  // the unanswered attempts are not all of one backend
    TimePoint last_answer{}, unanswered_since{}, outage_until{};
  };
  Zone StateOf(int zone) const {
    const auto found = zones_.find(zone);
    return found == zones_.end() ? Zone() : found->second;
  }

  boost::unordered_flat_map<int, Zone> zones_;
  TimePoint last_answer_{}, next_return_at_ = kNever;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_ZONE_OUTAGE_DETECTOR_H_
