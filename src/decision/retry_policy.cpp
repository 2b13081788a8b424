// SPDX-License-Identifier: Apache-2.0
#include "decision/retry_policy.h"

#include <algorithm>

namespace copperpoint {

RetryPolicy::Permission RetryPolicy::PermissionFor(const RequestState& request, const ClassSettings& settings,
                                                   TimePoint now) const {
  Permission permission;
  if (request.finished || request.response_started) return permission;
  permission.may_dispatch = now < request.deadline &&
                            static_cast<int>(request.attempts.size()) < max_attempts_ &&
                            !request.has_outstanding_attempt();
  permission.may_reject = true;
  const auto first_run = std::find_if(request.attempts.begin(), request.attempts.end(),
                                      [](const AttemptState& attempt) { return attempt.may_have_run; });
  if (first_run == request.attempts.end() || settings.idempotency == Idempotency::kIdempotent)
    return permission;
  permission.may_reject = settings.idempotency == Idempotency::kIdempotencyKey &&
                          settings.deduplication_scope == DeduplicationScope::kAll;
  permission.send_by = RetryBy(first_run->started_at, settings);
  if (settings.idempotency == Idempotency::kNonIdempotent || now >= permission.send_by)
    permission.may_dispatch = false;
  if (permission.may_dispatch) permission.deduplication_anchor = first_run->backend;
  return permission;
}

}  // namespace copperpoint
