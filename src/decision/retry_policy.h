// SPDX-License-Identifier: Apache-2.0
//
// Decides whether a request may be forwarded (again), to which backends, and how it may end.
#ifndef COPPERPOINT_DECISION_RETRY_POLICY_H_
#define COPPERPOINT_DECISION_RETRY_POLICY_H_

#include <optional>

#include "copperpoint/balancer.h"
#include "decision/backend_state.h"
#include "decision/request_state.h"

namespace copperpoint {

// An attempt that may have been executed must not be repeated unless the request is idempotent, or has an
// idempotency key and goes to a backend that still recognises the duplicate. Nor may such a request be
// rejected, as a rejection promises the client that it had no effect. A request has one outstanding attempt
// at a time.
class RetryPolicy {
 public:
  explicit RetryPolicy(int max_attempts) : max_attempts_(max_attempts) {}

  struct Permission {
    bool may_dispatch = false;  // another attempt (the first included) may start
    bool may_reject = false;    // the request may end as rejected; otherwise it can only fail
    // If set, the attempt may only go to backends that recognise duplicates of what this one executed.
    std::optional<BackendIndex> deduplication_anchor;
  };
  Permission PermissionFor(const RequestState& request, const ClassSettings& settings, TimePoint now) const;

  bool IsLastAttempt(const RequestState& request) const {
    return static_cast<int>(request.attempts.size()) + 1 >= max_attempts_;
  }

  // Whether the backend of `candidate` recognises duplicates of what that of `anchor` executed.
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

  // Whether a backend may have executed an attempt that ended so.
  static bool MayHaveRun(AttemptOutcome outcome) {
    return !(outcome == AttemptOutcome::kBackendRejected || outcome == AttemptOutcome::kConnectFailure ||
             outcome == AttemptOutcome::kNotSent);
  }

 private:
  static constexpr double kWindowMargin = 0.9;  // of the deduplication window, for delays

  int max_attempts_;
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_RETRY_POLICY_H_
