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

// A network partition or the loss of a zone affects all of its backends at once. If it were detected for each
// backend separately, each detection would cost connect timeouts or clients' deadlines, again and again. A
// zone is taken out of service, for about as long as a first ejection, after kUnansweredAttempts attempts in
// a row without an answer, at more than one of its backends, while other zones answer. Any answer from the
// zone ends the outage. An answer is any response, including errors and rejections.
//
// Owns the state of the zones.
class ZoneOutageDetector {
 public:
  static constexpr int kUnansweredAttempts = 3;

  void OnAnswer(int zone, TimePoint now);
  // Records an attempt without an answer. Returns true if this takes the zone out of service.
  bool OnNoAnswer(int zone, BackendIndex backend, TimePoint now, Random& random);

  bool InOutage(int zone, TimePoint now) const { return StateOf(zone).outage_until > now; }
  // The time of the last answer from the zone, and from any zone.
  TimePoint LastAnswer(int zone) const { return StateOf(zone).last_answer; }
  TimePoint last_answer() const { return last_answer_; }

  // When the next outage ends. To recompute that time, call ResetNextReturn and then UpdateReturn for the
  // zone of each backend. UpdateReturn returns whether the zone is still out of service.
  void ResetNextReturn() { next_return_at_ = kNever; }
  bool UpdateReturn(int zone, TimePoint now);
  TimePoint next_return_at() const { return next_return_at_; }

 private:
  struct Zone {
    int unanswered = 0;  // attempts in a row without an answer
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
