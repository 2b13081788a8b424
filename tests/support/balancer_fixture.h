// SPDX-License-Identifier: Apache-2.0
//
// A Balancer under test with its clock, and functions that send it events.
#ifndef COPPERPOINT_TESTS_SUPPORT_BALANCER_FIXTURE_H_
#define COPPERPOINT_TESTS_SUPPORT_BALANCER_FIXTURE_H_

#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "copperpoint/balancer.h"

namespace copperpoint::testing {

inline TimePoint At(double ms) { return TimePoint(Duration(ms)); }

// Returns the settings of a request class. Times are in milliseconds.
inline ClassSettings MakeClass(Idempotency idempotency, double latency_objective = 200,
                               double deadline = 1000) {
  ClassSettings c;
  c.idempotency = idempotency;
  c.latency_objective = Duration(latency_objective);
  c.deadline = Duration(deadline);
  c.deduplication_window = Duration(500);
  return c;
}

// Returns settings with three request classes: 0 is idempotent, 1 has an idempotency key with the scope of a
// cell, and 2 is not idempotent.
inline Settings DefaultSettings() {
  Settings s;
  s.classes = {MakeClass(Idempotency::kIdempotent), MakeClass(Idempotency::kIdempotencyKey),
               MakeClass(Idempotency::kNonIdempotent)};
  s.classes[1].deduplication_scope = DeduplicationScope::kCell;
  s.max_attempts = 4;
  s.proxy_count = 1;
  s.slow_start_min_capacity = 0.25;
  s.slow_start_window = Duration(10000);
  s.overload_factor = 3;
  s.overload_window = Duration(1000);
  s.tick = Duration(5);
  return s;
}

inline Endpoint MakeEndpoint(BackendId id, int zone = 0, int cell = 0,
                             EndpointState state = EndpointState::kReady, double up_since = 0) {
  Endpoint e;
  e.backend = id;
  e.zone = zone;
  e.cell = cell;
  e.state = state;
  e.up_since = At(up_since);
  return e;
}

// Owns a Balancer and its clock, and records the actions that the Balancer returns.
class BalancerHarness {
 public:
  explicit BalancerHarness(Settings settings = DefaultSettings(), std::uint64_t seed = 1)
      : balancer_(std::move(settings), seed) {}

  double now = 100000;                 // the Balancer's time, in milliseconds
  std::vector<Action> actions;         // actions of the last event
  std::vector<StartAttempt> attempts;  // attempts started by all events

  const std::vector<Action>& Handle(const Event& event) {
    actions.clear();
    balancer_.Handle(At(now), event, &actions);
    for (const Action& a : actions) {
      if (const auto* start = std::get_if<StartAttempt>(&a)) attempts.push_back(*start);
    }
    return actions;
  }

  void UpdateEndpoints(std::vector<Endpoint> endpoints,
                       EndpointUpdateKind kind = EndpointUpdateKind::kSnapshot) {
    Handle(EndpointUpdate{kind, std::move(endpoints)});
  }

  // Sends a snapshot of the backends 1 to n.
  void SetBackends(int n) {
    std::vector<Endpoint> endpoints;
    for (int i = 1; i <= n; ++i) endpoints.push_back(MakeEndpoint(static_cast<BackendId>(i)));
    UpdateEndpoints(endpoints);
  }

  // Submits a request with a deadline `time_left` ms from now. Returns the backend of its attempt if one
  // starts at once.
  std::optional<BackendId> SubmitRequest(RequestId id, int request_class = 0, double estimated_work_ms = 10,
                                         double time_left = 1000, std::uint64_t key = 0) {
    RequestReceived request;
    request.request = id;
    request.request_class = request_class;
    request.has_work_estimate = estimated_work_ms > 0;
    request.estimated_work_ms = estimated_work_ms;
    request.key = key;
    request.deadline = At(now + time_left);
    Handle(request);
    return AttemptBackend(id);
  }

  void CompleteAttempt(RequestId id, int attempt, BackendId backend, AttemptOutcome outcome,
                       double duration_ms = 10, bool request_completed = false) {
    AttemptCompleted e;
    e.request = id;
    e.attempt = attempt;
    e.backend = backend;
    e.outcome = outcome;
    e.request_completed = request_completed || outcome == AttemptOutcome::kSuccess;
    e.duration = Duration(duration_ms);
    Handle(e);
  }

  void AdvanceTime(double ms) {
    now += ms;
    Handle(TimerFired{});
  }

  // Returns the backend at which the last event started an attempt of the request.
  std::optional<BackendId> AttemptBackend(RequestId id) const {
    for (const Action& a : actions) {
      const auto* start = std::get_if<StartAttempt>(&a);
      if (start && start->request == id) return start->backend;
    }
    return std::nullopt;
  }

  // Returns how many actions of the type T the last event led to.
  template <typename T>
  int CountActions() const {
    int n = 0;
    for (const Action& a : actions) n += std::holds_alternative<T>(a);
    return n;
  }

  std::vector<BackendSnapshot> ExportState() { return balancer_.ExportState(At(now)); }

 private:
  Balancer balancer_;
};

inline RequestId next_request_id = 1;

// Submits a request and completes it, with `outcome` if its backend is one of `failing` and otherwise with
// success.
inline void CompleteOneRequest(BalancerHarness& harness, AttemptOutcome outcome, std::set<BackendId> failing,
                               double duration = 10) {
  const RequestId id = next_request_id++;
  const auto backend = harness.SubmitRequest(id, 2, 10, 5000);  // not idempotent, so that it is not retried
  ASSERT_TRUE(backend.has_value());
  const bool fails = failing.count(*backend) > 0;
  harness.CompleteAttempt(id, 0, *backend, fails ? outcome : AttemptOutcome::kSuccess, duration);
}

// Submits a request and completes it with success. Returns its backend if an attempt was started.
inline std::optional<BackendId> SubmitAndComplete(BalancerHarness& harness) {
  const RequestId id = next_request_id++;
  const auto backend = harness.SubmitRequest(id);
  if (backend) harness.CompleteAttempt(id, 0, *backend, AttemptOutcome::kSuccess);
  return backend;
}

// Returns whether the backend gets one of three requests that are submitted at the same time.
inline bool IsInService(BalancerHarness& harness, BackendId backend) {
  std::vector<std::pair<RequestId, BackendId>> open;
  bool seen = false;
  for (int i = 0; i < 3; ++i) {
    const RequestId id = next_request_id++;
    const auto picked = harness.SubmitRequest(id, 2, 10, 5000);
    if (!picked) break;
    open.emplace_back(id, *picked);
    seen |= *picked == backend;
  }
  for (const auto& [id, picked] : open) harness.CompleteAttempt(id, 0, picked, AttemptOutcome::kCancelled);
  return seen;
}

// Completes `per_backend` requests on each of three backends; the first `failures` of backend 1 fail.
inline void CompleteRequestsOnEach(BalancerHarness& harness, int per_backend, int failures,
                                   AttemptOutcome outcome = AttemptOutcome::kServerError) {
  for (int i = 0; i < per_backend; ++i) {
    std::map<BackendId, RequestId> open;
    for (int k = 0; k < 3; ++k) {
      const RequestId id = next_request_id++;
      const auto backend = harness.SubmitRequest(id, 2, 10, 5000);
      ASSERT_TRUE(backend.has_value());
      open[*backend] = id;
    }
    // Backend 1 is completed last, so that the others have reached the minimum volume before.
    for (auto it = open.rbegin(); it != open.rend(); ++it) {
      const auto [backend, id] = *it;
      harness.CompleteAttempt(id, 0, backend,
                              backend == 1 && i < failures ? outcome : AttemptOutcome::kSuccess);
    }
  }
}

}  // namespace copperpoint::testing

#endif  // COPPERPOINT_TESTS_SUPPORT_BALANCER_FIXTURE_H_
