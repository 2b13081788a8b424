// SPDX-License-Identifier: Apache-2.0
//
// Random but valid events with fixed seeds, checked against an independent model of the decision rules.
// Guards against orders of events that no scenario tests, such as a list that removes a backend before a
// retry.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "support/balancer_fixture.h"

namespace copperpoint::testing {
namespace {

struct Attempt {
  BackendId backend;
  double sent_at;
  double ends_at;
  AttemptOutcome outcome;
  bool outstanding = true;
};
struct OpenRequest {
  int request_class;
  double deadline_ms;
  std::vector<Attempt> attempts;
  int completions = 0;
};

class RandomEventSource {
 public:
  RandomEventSource(Settings settings, std::uint64_t seed)
      : settings_(settings), rng_(seed), balancer_(settings, seed) {
    for (BackendId id = 1; id <= 8; ++id) backends_[id] = MakeEndpoint(id, id % 2, id % 3);
  }

  void Run() {
    Update(EndpointUpdateKind::kCached, AllEndpoints());
    for (now_ = 1000; now_ < 9000; now_ += 1 + Random(8)) {
      if (now_ > 7000) {
        Step(false);
      } else {
        Step(true);
      }
    }
    now_ += 5000;
    Step(false);
    for (const auto& [id, r] : open_) EXPECT_EQ(r.completions, 1) << "request " << id;
  }
  std::size_t attempts_started = 0;

 private:
  int Random(int n) { return static_cast<int>(rng_() % static_cast<unsigned>(n)); }

  std::vector<Endpoint> AllEndpoints() const {
    std::vector<Endpoint> all;
    for (const auto& [id, e] : backends_) all.push_back(e);
    return all;
  }

  void Update(EndpointUpdateKind kind, std::vector<Endpoint> entries) {
    Handle(EndpointUpdate{kind, std::move(entries)});
  }

  void Step(bool load) {
    // Timers, completed attempts, arrivals and endpoint updates of one step, in a random order.
    std::vector<int> order = {0, 1, 2, 3};
    std::shuffle(order.begin(), order.end(), rng_);
    for (int part : order) {
      while (part == 0 && !timers_.empty() && *timers_.begin() <= now_) {
        timers_.erase(timers_.begin());
        Handle(TimerFired{});
      }
      if (part == 1) CompleteAttempts();
      if (part == 2 && load) {
        for (int k = Random(4); k > 0; --k) SubmitRequest();
      }
      if (part == 3 && Random(20) == 0) ChangeEndpoints();
    }
    for (auto& [id, r] : open_) {
      if (r.completions == 0 && r.deadline_ms + 20 < now_)
        ADD_FAILURE() << "request " << id << " due " << r.deadline_ms << " is not completed at " << now_;
    }
  }

  void SubmitRequest() {
    RequestReceived s;
    s.request = ++last_id_;
    s.request_class = Random(3);
    s.deadline = At(now_ + 30 + Random(700));
    s.has_work_estimate = Random(3) > 0;
    s.estimated_work_ms = 1 + Random(60);
    open_[s.request] = OpenRequest{s.request_class, s.deadline.time_since_epoch().count(), {}};
    Handle(s);
  }

  void ChangeEndpoints() {
    const BackendId id = 1 + static_cast<BackendId>(Random(8));
    Endpoint& e = backends_[id];
    e.state = static_cast<EndpointState>(Random(3));
    if (e.state == EndpointState::kReady && Random(2)) e.up_since = At(now_);
    Update(Random(5) ? EndpointUpdateKind::kIncremental : EndpointUpdateKind::kSnapshot,
           Random(5) ? std::vector<Endpoint>{e} : AllEndpoints());
  }

  void CompleteAttempts() {
    std::vector<std::pair<RequestId, int>> ended;
    for (auto& [id, r] : open_) {
      for (std::size_t i = 0; i < r.attempts.size(); ++i) {
        if (r.attempts[i].outstanding && r.attempts[i].ends_at <= now_)
          ended.emplace_back(id, static_cast<int>(i));
      }
    }
    std::shuffle(ended.begin(), ended.end(), rng_);
    for (const auto& [id, i] : ended) {
      OpenRequest& r = open_[id];
      Attempt& t = r.attempts[static_cast<std::size_t>(i)];
      t.outstanding = false;
      if (t.outcome == AttemptOutcome::kSuccess && r.completions == 0) r.completions = 1;
      AttemptCompleted e;
      e.request = id;
      e.attempt = i;
      e.backend = t.backend;
      e.outcome = t.outcome;
      e.request_completed = r.completions > 0;
      e.duration = Duration(now_ - t.sent_at);
      Handle(e);
    }
  }

  void Handle(const Event& event) {
    // The model knows the endpoints of the updates that the balancer has received.
    if (const auto* list = std::get_if<EndpointUpdate>(&event)) {
      if (list->kind != EndpointUpdateKind::kIncremental) listed_.clear();
      for (const Endpoint& e : list->endpoints) listed_[e.backend] = e;
    }
    std::vector<Action> actions;
    balancer_.Handle(At(now_), event, &actions);
    for (const Action& a : actions) Check(a);
  }

  static bool NeverRan(const Attempt& t) {
    return !t.outstanding &&
           (t.outcome == AttemptOutcome::kBackendRejected || t.outcome == AttemptOutcome::kConnectFailure ||
            t.outcome == AttemptOutcome::kNotSent);
  }

  void Check(const Action& action) {
    if (const auto* d = std::get_if<StartAttempt>(&action)) {
      ++attempts_started;
      OpenRequest& r = open_.at(d->request);
      EXPECT_EQ(r.completions, 0) << "attempt after the request was completed";
      EXPECT_LT(static_cast<int>(r.attempts.size()), settings_.max_attempts);
      EXPECT_TRUE(listed_.count(d->backend) && listed_[d->backend].state == EndpointState::kReady)
          << "attempt at a backend that is not ready";
      const Idempotency idempotency =
          settings_.classes[static_cast<std::size_t>(r.request_class)].idempotency;
      for (const Attempt& t : r.attempts) {
        EXPECT_TRUE(!t.outstanding) << "two attempts of one request at the same time";
        if (NeverRan(t)) continue;
        EXPECT_NE(idempotency, Idempotency::kNonIdempotent) << "may have been executed twice";
        if (idempotency == Idempotency::kIdempotencyKey) {
          EXPECT_EQ(backends_[t.backend].cell, backends_[d->backend].cell);
          EXPECT_LE(
              now_ - t.sent_at,
              settings_.classes[static_cast<std::size_t>(r.request_class)].deduplication_window.count());
        }
      }
      Attempt t{d->backend, now_, now_ + Random(400), static_cast<AttemptOutcome>(Random(9))};
      const double timeout =
          d->timeout.count() > 0 ? std::min(now_ + d->timeout.count(), r.deadline_ms) : r.deadline_ms;
      if (t.ends_at > timeout) t.ends_at = timeout, t.outcome = AttemptOutcome::kTimeout;
      r.attempts.push_back(t);
    } else if (const auto* reject = std::get_if<RejectRequest>(&action)) {
      OpenRequest& r = open_.at(reject->request);
      EXPECT_EQ(++r.completions, 1);
      for (const Attempt& t : r.attempts) {
        EXPECT_TRUE(NeverRan(t) || settings_.classes[static_cast<std::size_t>(r.request_class)].idempotency ==
                                       Idempotency::kIdempotent)
            << "rejected though it may have run";
      }
    } else if (const auto* fail = std::get_if<FailRequest>(&action)) {
      EXPECT_EQ(++open_.at(fail->request).completions, 1);
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      timers_.insert(std::max(now_ + 1, timer->at.time_since_epoch().count()));
    }
  }

  Settings settings_;
  std::mt19937_64 rng_;
  Balancer balancer_;
  double now_ = 500;
  std::multiset<double> timers_;
  RequestId last_id_ = 0;
  std::map<BackendId, Endpoint> backends_, listed_;
  std::map<RequestId, OpenRequest> open_;
};

TEST(RandomEvents, NeverBreakTheDecisionRules) {
  std::size_t attempts = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE(seed);
    Settings s = DefaultSettings();
    s.max_attempts = 1 + static_cast<int>(seed % 5);
    s.tenants = {{10}, {10}};
    s.over_quota_weight = 0.2;
    RandomEventSource source(s, seed);
    source.Run();
    attempts += source.attempts_started;
  }
  EXPECT_GT(attempts, 2000u) << "the test is void without enough attempts";
}

}  // namespace
}  // namespace copperpoint::testing
