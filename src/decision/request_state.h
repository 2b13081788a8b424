// SPDX-License-Identifier: Apache-2.0
//
// What a proxy knows of one open request and its attempts.
#ifndef COPPERPOINT_DECISION_REQUEST_STATE_H_
#define COPPERPOINT_DECISION_REQUEST_STATE_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "copperpoint/balancer.h"
#include "decision/backend_state.h"
#include "decision/client_retry_detector.h"

namespace copperpoint {

struct AttemptState {
  BackendIndex backend = 0;
  TimePoint started_at{};
  bool outstanding = true;
  bool may_have_run = true;  // the backend may have executed it
  bool overdue = false;      // outstanding for longer than such answers take; it may never end by itself
};

struct RequestState {
  RequestId id = 0;
  int request_class = 0, tenant = -1;
  double work_ms = 1;          // estimated work on a standard core
  double priority_weight = 0;  // lowered if it is over its tenant's quota or will be late
  double queue_priority = 0;   // set while the request is queued
  std::uint64_t key = 0;       // key for affinity; 0: none
  TimePoint received_at{}, deadline{};
  // A queued request is rejected at wait_until. If no request was answered since its arrival, it may then
  // wait until max_wait_until.
  TimePoint wait_until{}, max_wait_until{};
  std::uint64_t fingerprint = 0;
  bool has_work_estimate = false;
  LogicalRequest logical_request;
  std::vector<AttemptState> attempts;
  bool finished = false, response_started = false, queued = false;

  bool has_outstanding_attempt() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const AttemptState& attempt) { return attempt.outstanding; });
  }
};

}  // namespace copperpoint

#endif  // COPPERPOINT_DECISION_REQUEST_STATE_H_
