// SPDX-License-Identifier: Apache-2.0
//
// Decides whether a request may be forwarded, once or again, to which backends, and how it may end.
#ifndef COPPERPOINT_DECISION_RETRY_POLICY_H_
#define COPPERPOINT_DECISION_RETRY_POLICY_H_

#include <optional>

#include "copperpoint/balancer.h"
#include "decision/backend_state.h"
#include "decision/max_suspension.h"
#include "decision/never.h"
#include "decision/request_state.h"

namespace copperpoint {

// If an attempt may have been executed, another one may start only if the request is idempotent, or has an
// idempotency key and goes to a backend that still recognises the duplicate. After such an attempt, only an
// idempotent request, or one with a key that all backends recognise, may be rejected, as a rejection tells
// the client that a retry is harmless. A request has at most one outstanding attempt at a time.
class RetryPolicy {
 public:
  explicit RetryPolicy(int max_attempts) : max_attempts_(max_attempts) {}

  struct Permission {
    bool may_dispatch = false;  // the first or another attempt may start
    bool may_reject = false;    // the request may end as rejected; if false, it can only end as failed
    // If set, the attempt may only go to backends that recognise duplicates of what this backend executed.
    std::optional<BackendIndex> deduplication_anchor;
    TimePoint send_by = kNever;  // the attempt must be written by this time, while they still recognise them
  };
  Permission PermissionFor(const RequestState& request, const ClassSettings& settings, TimePoint now) const;

  bool NextAttemptIsLast(const RequestState& request) const {
    return static_cast<int>(request.attempts.size()) + 1 >= max_attempts_;
  }

  // Returns whether the backend `candidate` recognises duplicates of requests that `anchor` executed.
  static bool InDeduplicationScope(DeduplicationScope scope, const Endpoint& anchor,
                                   const Endpoint& candidate) {
    switch (scope) {
      case DeduplicationScope::kAll:
        return true;
      case DeduplicationScope::kZone:
        return candidate.zone == anchor.zone;
      case DeduplicationScope::kCell:
        return candidate.cell == anchor.cell && candidate.zone == anchor.zone;
    }
    return false;
  }

  // Returns whether a backend may have executed an attempt that ended with `outcome`.
  static bool MayHaveRun(AttemptOutcome outcome) {
    return !(outcome == AttemptOutcome::kBackendRejected || outcome == AttemptOutcome::kConnectFailure ||
             outcome == AttemptOutcome::kNotSent);
  }

  // Returns the latest time at which a retry may be written if the first attempt that may have run started at
  // `started_at`: the deduplication window, less a suspension of the process just before the write. kNever if
  // the class has no such limit.
  static TimePoint RetryBy(TimePoint started_at, const ClassSettings& settings) {
    if (settings.idempotency != Idempotency::kIdempotencyKey) return kNever;
    return started_at + settings.deduplication_window - kMaxSuspension;
  }

 private:
  int max_attempts_;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_RETRY_POLICY_H_
