// SPDX-License-Identifier: Apache-2.0
//
// A Balancer under test, its clock, and short ways to say what happens.
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

inline ClassSettings Class(Idempotency effect, double aim = 200, double deadline = 1000) {
  ClassSettings c;
  c.idempotency = effect;
  c.latency_objective = Duration(aim);
  c.deadline = Duration(deadline);
  c.deduplication_window = Duration(500);
  return c;
}

// Three classes: 0 safe, 1 keyed (cell), 2 unsafe.
inline Settings Usual() {
  Settings s;
  s.classes = {Class(Idempotency::kIdempotent), Class(Idempotency::kIdempotencyKey),
               Class(Idempotency::kNonIdempotent)};
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

inline Endpoint Entry(BackendId id, int zone = 0, int cell = 0, EndpointState state = EndpointState::kReady,
                      double up_since = 0) {
  Endpoint e;
  e.backend = id;
  e.zone = zone;
  e.cell = cell;
  e.state = state;
  e.up_since = At(up_since);
  return e;
}

class Rig {
 public:
  explicit Rig(Settings settings = Usual(), std::uint64_t seed = 1) : balancer_(std::move(settings), seed) {}

  double now = 100000;
  std::vector<Action> actions;  // of the last event

  const std::vector<Action>& Do(const Event& event) {
    actions.clear();
    balancer_.Handle(At(now), event, &actions);
    for (const Action& a : actions) {
      if (const auto* d = std::get_if<StartAttempt>(&a)) ++attempts_[d->request], sent.push_back(*d);
    }
    return actions;
  }
  void List(std::vector<Endpoint> entries, EndpointUpdateKind kind = EndpointUpdateKind::kSnapshot) {
    Do(EndpointUpdate{kind, std::move(entries)});
  }
  void Servers(int n) {
    std::vector<Endpoint> entries;
    for (int i = 1; i <= n; ++i) entries.push_back(Entry(static_cast<BackendId>(i)));
    List(entries);
  }
  // Submits and returns the server it was sent to at once, if any.
  std::optional<BackendId> Ask(RequestId id, int cls = 0, double work = 10, double patience = 1000,
                               std::uint64_t key = 0) {
    RequestReceived s;
    s.request = id;
    s.request_class = cls;
    s.has_work_estimate = work > 0;
    s.estimated_work_ms = work;
    s.key = key;
    s.deadline = At(now + patience);
    Do(s);
    return SentTo(id);
  }
  void End(RequestId id, int attempt, BackendId server, AttemptOutcome outcome, double took = 10,
           bool settled = false) {
    AttemptCompleted e;
    e.request = id;
    e.attempt = attempt;
    e.backend = server;
    e.outcome = outcome;
    e.request_completed = settled || outcome == AttemptOutcome::kSuccess;
    e.duration = Duration(took);
    Do(e);
  }
  void Tick(double ms) {
    now += ms;
    Do(TimerFired{});
  }
  std::optional<BackendId> SentTo(RequestId id) const {
    for (const Action& a : actions) {
      const auto* d = std::get_if<StartAttempt>(&a);
      if (d && d->request == id) return d->backend;
    }
    return std::nullopt;
  }
  template <typename T>
  int Count() const {
    int n = 0;
    for (const Action& a : actions) n += std::holds_alternative<T>(a);
    return n;
  }

  std::vector<BackendSnapshot> ExportState() { return balancer_.ExportState(At(now)); }

  std::vector<StartAttempt> sent;

 private:
  Balancer balancer_;
  std::map<RequestId, int> attempts_;
};

inline RequestId next_id = 1;

// One request and its answer, which fails if it came from one of `failing`.
inline void AnswerOne(Rig& rig, AttemptOutcome outcome, std::set<BackendId> failing, double took = 10) {
  const RequestId id = next_id++;
  const auto server = rig.Ask(id, 2, 10, 5000);  // unsafe: one attempt, so nothing is sent again
  ASSERT_TRUE(server.has_value());
  const bool fails = failing.count(*server) > 0;
  rig.End(id, 0, *server, fails ? outcome : AttemptOutcome::kSuccess, took);
}

inline std::optional<BackendId> AskAndEnd(Rig& rig) {
  const RequestId id = next_id++;
  const auto server = rig.Ask(id);
  if (server) rig.End(id, 0, *server, AttemptOutcome::kSuccess);
  return server;
}

inline bool InService(Rig& rig, BackendId server) {
  std::vector<std::pair<RequestId, BackendId>> open;
  bool seen = false;
  for (int i = 0; i < 3; ++i) {
    const RequestId id = next_id++;
    const auto s = rig.Ask(id, 2, 10, 5000);
    if (!s) break;
    open.emplace_back(id, *s);
    seen |= *s == server;
  }
  for (const auto& [id, s] : open) rig.End(id, 0, s, AttemptOutcome::kCancelled);
  return seen;
}

// Gives each of three servers `per_server` answers; `failures` of server 1's fail, first ones first.
inline void Answers(Rig& rig, int per_server, int failures,
                    AttemptOutcome outcome = AttemptOutcome::kServerError) {
  for (int i = 0; i < per_server; ++i) {
    std::map<BackendId, RequestId> open;
    for (int k = 0; k < 3; ++k) {
      const RequestId id = next_id++;
      const auto s = rig.Ask(id, 2, 10, 5000);
      ASSERT_TRUE(s.has_value());
      open[*s] = id;
    }
    // Server 1 last: the others qualify by then.
    for (auto it = open.rbegin(); it != open.rend(); ++it) {
      const auto [s, id] = *it;
      rig.End(id, 0, s, s == 1 && i < failures ? outcome : AttemptOutcome::kSuccess);
    }
  }
}

}  // namespace copperpoint::testing

#endif  // COPPERPOINT_TESTS_SUPPORT_BALANCER_FIXTURE_H_
