// SPDX-License-Identifier: Apache-2.0
//
// Decides after which time an attempt is given up so that another one can still succeed.
#ifndef COPPERPOINT_DECISION_ATTEMPT_TIMEOUT_H_
#define COPPERPOINT_DECISION_ATTEMPT_TIMEOUT_H_

#include "copperpoint/balancer.h"

namespace copperpoint {

struct AttemptTimeoutInputs {
  bool may_retry = false;    // idempotency, attempts and budget permit another attempt after this one
  bool has_samples = false;  // the two latencies below rest on enough answers
  bool backend_has_attempts = false;  // attempts are outstanding at the backend
  Duration time_since_activity{0};    // since its last activity
  Duration unlikely_latency{0};       // of such a request
  Duration usual_latency{0};          // that the retry needs
  TimePoint now{}, deadline{};        // the deadline is the client's
};

// The timeout of an attempt, 0 for none. Only a backend that owes answers, and has been silent for longer
// than such requests take (mean and four deviations), gets one: a timeout of what is merely late doubles its
// work. None either where a retry isn't permitted or would come too late.
inline Duration AttemptTimeoutFor(const AttemptTimeoutInputs& inputs) {
  if (!inputs.may_retry || !inputs.has_samples || !inputs.backend_has_attempts) return Duration(0);
  if (inputs.time_since_activity < inputs.unlikely_latency) return Duration(0);
  if (inputs.now + inputs.unlikely_latency + inputs.usual_latency > inputs.deadline) return Duration(0);
  return inputs.unlikely_latency;
}

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_ATTEMPT_TIMEOUT_H_
