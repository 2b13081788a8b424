// SPDX-License-Identifier: Apache-2.0
//
// Decides after how long an attempt is cancelled so that a retry can still succeed before the deadline.
#ifndef COPPERPOINT_DECISION_ATTEMPT_TIMEOUT_H_
#define COPPERPOINT_DECISION_ATTEMPT_TIMEOUT_H_

#include "copperpoint/balancer.h"
#include "decision/never.h"

namespace copperpoint {

struct AttemptTimeoutInputs {
  bool may_retry = false;    // idempotency, attempts and budget permit another attempt after this one
  bool has_samples = false;  // unlikely_latency and usual_latency are based on enough answers
  bool backend_has_attempts = false;  // other attempts are outstanding at the backend
  Duration time_since_activity{0};    // time since BackendState::last_activity of the backend
  Duration unlikely_latency{0};       // latency that such a request exceeds only rarely
  Duration usual_latency{0};          // latency that is expected of the retry
  TimePoint now{}, deadline{};        // current time and the client's deadline
  TimePoint retry_by = kNever;        // latest time at which the retry may start
};

// Returns the timeout of an attempt, 0 for none. An attempt gets a timeout only if other attempts are
// outstanding at its backend and the backend has been silent for longer than such requests take (mean plus
// four deviations): cancelling an attempt that is merely late and retrying it would double its work. There is
// no timeout either if a retry isn't permitted, would start too late, or could not be answered before the
// deadline.
inline Duration AttemptTimeoutFor(const AttemptTimeoutInputs& inputs) {
  if (!inputs.may_retry || !inputs.has_samples || !inputs.backend_has_attempts) return Duration(0);
  if (inputs.time_since_activity < inputs.unlikely_latency) return Duration(0);
  const TimePoint retry_at = inputs.now + inputs.unlikely_latency;
  if (retry_at >= inputs.retry_by || retry_at + inputs.usual_latency > inputs.deadline) return Duration(0);
  return inputs.unlikely_latency;
}

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_ATTEMPT_TIMEOUT_H_
