// SPDX-License-Identifier: Apache-2.0
#include "decision/zone_outage_detector.h"

#include <algorithm>

#include "decision/outlier_detector.h"

namespace copperpoint {

void ZoneOutageDetector::OnAnswer(int zone, TimePoint now) {
  Zone& state = zones_[zone];
  state.last_answer = last_answer_ = now;
  state.unanswered = 0;
  state.several_backends = false;
  if (state.outage_until > now) state.outage_until = next_return_at_ = now;
}

bool ZoneOutageDetector::OnNoAnswer(int zone, BackendIndex backend, TimePoint now, Random& random) {
  Zone& state = zones_[zone];
  if (state.unanswered == 0) state.unanswered_since = now;
  const bool others_answer = last_answer_ > state.unanswered_since;
  state.several_backends |= state.unanswered > 0 && backend != state.last_unanswered;
  state.last_unanswered = backend;
  ++state.unanswered;
  const bool enough = state.several_backends && state.unanswered >= kUnansweredAttempts;
  if (!enough || state.outage_until > now || !others_answer) return false;
  // Jittered, so that the proxies don't all send to the zone again at the same time.
  state.outage_until = now + OutlierDetector::kBaseEjectionTime * (0.75 + 0.5 * random.Unit());
  next_return_at_ = std::min(next_return_at_, state.outage_until);
  return true;
}

bool ZoneOutageDetector::UpdateReturn(int zone, TimePoint now) {
  const TimePoint outage_until = StateOf(zone).outage_until;
  if (outage_until <= now) return false;
  next_return_at_ = std::min(next_return_at_, outage_until);
  return true;
}

}  // namespace copperpoint
