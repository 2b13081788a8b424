// SPDX-License-Identifier: Apache-2.0
//
// How much work a backend is sent after its start, by one proxy and by many together. Guards against a
// starting backend that is overloaded, and against one that isn't used.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <utility>
#include <vector>

#include "support/balancer_fixture.h"

namespace copperpoint::testing {
namespace {

TEST(SlowStart, StaysWithinBudgetInEveryWindow) {
  BalancerHarness harness;
  std::vector<Endpoint> list = {MakeEndpoint(1), MakeEndpoint(2), MakeEndpoint(3)};
  harness.UpdateEndpoints(list);
  // Sends 30 ms of work every 10 ms, completed at once; each warm backend gets about 1 ms of work per ms.
  auto run = [&](double ms) {
    std::vector<std::pair<double, double>> sent;
    for (double t = 0; t < ms; t += 10) {
      harness.AdvanceTime(10);
      std::vector<std::pair<RequestId, BackendId>> open;
      for (int k = 0; k < 3; ++k) {
        const RequestId id = next_request_id++;
        const auto backend = harness.SubmitRequest(id, 2, 10, 900);
        if (!backend) continue;
        open.emplace_back(id, *backend);
        if (*backend == 3) sent.emplace_back(harness.now, 10);
      }
      for (const auto& [id, backend] : open)
        harness.CompleteAttempt(id, 0, backend, AttemptOutcome::kSuccess, 5);
    }
    return sent;
  };
  run(20000);
  harness.UpdateEndpoints({MakeEndpoint(3, 0, 0, EndpointState::kReady, harness.now)},
                          EndpointUpdateKind::kIncremental);  // the same backend after a restart
  const double start = harness.now;
  const auto sent = run(10000);
  double most = 0;
  for (std::size_t i = 0; i < sent.size(); ++i) {
    double window = 0;
    for (std::size_t k = i; k < sent.size() && sent[k].first - sent[i].first < 1000; ++k)
      window += sent[k].second;
    const double capacity_fraction = 0.25 + 0.75 * std::min(1.0, (sent[i].first - start + 1000) / 10000);
    most = std::max(most, window / (capacity_fraction * 1000));
  }
  EXPECT_LE(most, 2.5) << "work sent, as a multiple of the starting backend's capacity; 3 is an overload";
  EXPECT_GT(sent.size(), 100u) << "the starting backend must be used";
}

// An overloaded fleet is sent far more than it serves, so that work sent would give too large a budget.
TEST(SlowStart, BudgetFollowsWhatWarmBackendsServe) {
  Settings s = DefaultSettings();
  s.max_attempts = 1;
  BalancerHarness harness(s);
  harness.UpdateEndpoints(
      {MakeEndpoint(1), MakeEndpoint(2), MakeEndpoint(3, 0, 0, EndpointState::kReady, harness.now)});
  int sent = 0;
  for (int i = 0; i < 800; ++i) {
    harness.AdvanceTime(5);
    const RequestId id = next_request_id++;
    const auto backend = harness.SubmitRequest(id, 2, 10, 900);
    if (!backend) continue;
    sent += *backend == 3;
    harness.CompleteAttempt(id, 0, *backend,
                            i % 20 ? AttemptOutcome::kBackendRejected : AttemptOutcome::kSuccess, 5);
  }
  EXPECT_LE(sent, 6) << "requests in 4 s; the fleet served 5% of the 2 ms of work per ms sent to it";
}

// After the loss of most backends, the work that all of them served before would give the remaining one,
// which is warming up, too large a budget.
TEST(SlowStart, BudgetShrinksWhenMostBackendsAreLost) {
  Settings s = DefaultSettings();
  s.max_attempts = 1;
  BalancerHarness harness(s);
  harness.SetBackends(6);
  const auto run = [&](int n) {
    double sent = 0;
    for (int i = 0; i < n; ++i) {
      harness.AdvanceTime(5);
      const RequestId id = next_request_id++;
      const auto backend = harness.SubmitRequest(id, 2, 10, 900);
      if (backend) sent += 10, harness.CompleteAttempt(id, 0, *backend, AttemptOutcome::kSuccess, 5);
    }
    return sent;
  };
  run(3000);
  harness.UpdateEndpoints({MakeEndpoint(1, 0, 0, EndpointState::kReady, harness.now)});
  // A warm backend has served 0.33 ms of work per ms. The backend starts at a quarter of that, and three
  // times as much overloads it.
  EXPECT_LT(run(200), 1000) << "work sent in ms, of the 2000 ms that are submitted in this second";
}

// A rolling deployment can leave every backend warming up. If budgets followed the present rate, each
// would lower the next rate until no request is sent.
TEST(SlowStart, BudgetRecoversWhenNoBackendIsWarm) {
  Settings settings = DefaultSettings();
  settings.slow_start_window = Duration(20000);
  settings.slow_start_min_capacity = 0.1;
  BalancerHarness harness(settings);
  harness.SetBackends(6);
  bool served = true;
  auto run = [&](int n) {
    int sent = 0;
    for (int i = 0; i < n; ++i) {
      harness.AdvanceTime(20);
      const RequestId id = next_request_id++;
      const auto backend = harness.SubmitRequest(id, 2, 10, 400);
      if (backend)
        ++sent, harness.CompleteAttempt(id, 0, *backend,
                                        served ? AttemptOutcome::kSuccess : AttemptOutcome::kCancelled, 12);
    }
    return sent;
  };
  run(1000);
  std::vector<Endpoint> warming;
  for (BackendId id = 1; id <= 6; ++id)
    warming.push_back(MakeEndpoint(id, 0, 0, EndpointState::kReady, harness.now));
  harness.UpdateEndpoints(warming);
  served = false;
  run(250);
  served = true;
  EXPECT_GT(run(100), 70) << "of 100 requests, after five seconds in which no attempt succeeded";
}

// While most backends are warming up, the work that all of them serve must not be attributed to the few warm
// ones.
TEST(SlowStart, BudgetDoesNotGrowWhenMostBackendsAreWarmingUp) {
  Settings settings = DefaultSettings();
  settings.slow_start_window = Duration(60000);
  settings.slow_start_min_capacity = 0.1;
  BalancerHarness harness(settings);
  std::vector<Endpoint> list;
  for (BackendId id = 1; id <= 8; ++id) list.push_back(MakeEndpoint(id));
  harness.UpdateEndpoints(list);
  const auto run = [&](int n) {
    int to_first = 0;
    for (int i = 0; i < n; ++i) {
      harness.AdvanceTime(5);
      const RequestId id = next_request_id++;
      const auto backend = harness.SubmitRequest(id, 2, 10, 400);
      if (!backend) continue;
      to_first += *backend == 1;
      harness.CompleteAttempt(id, 0, *backend, AttemptOutcome::kSuccess, 12);
    }
    return to_first;
  };
  run(2000);  // 2 ms of work per ms, of which each backend serves 0.25
  for (BackendId id = 1; id <= 7; ++id)
    list[id - 1] = MakeEndpoint(id, 0, 0, EndpointState::kReady, harness.now);
  harness.UpdateEndpoints(list);
  run(1600);  // eight seconds, in which recent rates replace earlier ones
  // The backend has 0.22 of its capacity, and three times as much overloads it. Requests take 10 ms each,
  // over two seconds.
  EXPECT_LE(run(400), 0.6 * 3 * 0.24 * 0.25 * 2000 / 10 * 2);
}

TEST(SlowStart, RejectedWorkCountsAgainstBudget) {
  BalancerHarness harness;
  harness.UpdateEndpoints({MakeEndpoint(1, 0, 0, EndpointState::kReady, 99999)});
  int sent = 0;
  for (int i = 0; i < 50; ++i) {
    const RequestId id = next_request_id++;
    const auto backend = harness.SubmitRequest(id, 2, 10, 2000);
    if (backend) ++sent, harness.CompleteAttempt(id, 0, *backend, AttemptOutcome::kBackendRejected);
  }
  EXPECT_LE(sent, 2) << "without a known rate of warm backends, one mean request per window may be sent";
}

TEST(SlowStart, NewProxyServesWhenAllBackendsAreWarmingUp) {
  BalancerHarness harness;
  harness.UpdateEndpoints({MakeEndpoint(1, 0, 0, EndpointState::kReady, 99999),
                           MakeEndpoint(2, 0, 0, EndpointState::kReady, 99999)});
  const RequestId id = next_request_id++;
  bool sent = harness.SubmitRequest(id, 0).has_value();
  for (int i = 0; i < 20 && !sent; ++i) harness.AdvanceTime(5), sent = harness.AttemptBackend(id).has_value();
  EXPECT_TRUE(sent) << "the request must be sent within half of its objective";
}

// If all proxies sent their first request at once, they would overload a backend that has just started.
TEST(SlowStart, ManyProxiesStaggerFirstRequests) {
  Settings settings = DefaultSettings();
  settings.proxy_count = 400;
  settings.slow_start_min_capacity = 0.1;
  int at_once = 0;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    BalancerHarness harness(settings, seed);
    harness.UpdateEndpoints({MakeEndpoint(1), MakeEndpoint(2), MakeEndpoint(3)});
    for (int i = 0; i < 100; ++i) {  // a request every 200 ms
      harness.AdvanceTime(200);
      if (const auto backend = harness.SubmitRequest(next_request_id++, 2, 10))
        harness.CompleteAttempt(next_request_id - 1, 0, *backend, AttemptOutcome::kSuccess);
    }
    harness.UpdateEndpoints({MakeEndpoint(3, 0, 0, EndpointState::kReady, harness.now)},
                            EndpointUpdateKind::kIncremental);
    for (int k = 0; k < 5; ++k) {
      harness.AdvanceTime(200);
      if (const auto backend = harness.SubmitRequest(next_request_id++, 2, 10))
        at_once += *backend == 3,
            harness.CompleteAttempt(next_request_id - 1, 0, *backend, AttemptOutcome::kSuccess);
    }
  }
  // Each warm backend serves 400 x 10 ms of work every 600 ms, which is 6.7 ms per ms. A backend that is
  // warming up can serve 0.1 to 0.19 of that in its first second, and 3 times as much overloads it.
  EXPECT_LE(at_once * 10, 3 * 0.145 * 6.7 * 1000);
  EXPECT_GT(at_once, 50) << "the starting backend must be used";
}

// A hundred proxies each use a subset of sixty backends, half of which restart. Together they must send a
// backend that is warming up about its capacity fraction of what a warm one gets, and never so much that it
// is overloaded.
TEST(SlowStart, SubsettingProxiesTogetherSendWarmingBackendItsShare) {
  constexpr int kProxies = 100, kBackends = 60, kRounds = 80;  // rounds of 100 ms each
  constexpr double kWork = 10;
  Settings settings = DefaultSettings();
  settings.proxy_count = kProxies;
  std::map<BackendId, std::vector<double>> sent_at;
  double started = 0;
  for (int proxy_index = 0; proxy_index < kProxies; ++proxy_index) {
    settings.proxy_index = proxy_index;
    BalancerHarness harness(settings, static_cast<std::uint64_t>(proxy_index) + 1);
    RequestId id = 0;
    const auto submit_request = [&](bool count) {
      harness.AdvanceTime(100);
      if (const auto backend = harness.SubmitRequest(++id, 2, kWork)) {
        if (count) sent_at[*backend].push_back(harness.now);
        harness.CompleteAttempt(id, 0, *backend, AttemptOutcome::kSuccess);
      }
    };
    harness.SetBackends(kBackends);
    for (int i = 0; i < 100; ++i) submit_request(false);
    started = harness.now;
    std::vector<Endpoint> restarted;
    for (BackendId backend = 1; backend <= kBackends; backend += 2)
      restarted.push_back(MakeEndpoint(backend, 0, 0, EndpointState::kReady, started));
    harness.UpdateEndpoints(restarted, EndpointUpdateKind::kIncremental);
    for (int i = 0; i < kRounds; ++i) submit_request(true);
  }
  // Over the last four seconds the restarted backends have 0.55 to 0.85 of their capacity, 0.7 in the mean.
  double warm = 0, warming = 0;
  for (const auto& [backend, times] : sent_at) {
    const auto late =
        std::count_if(times.begin(), times.end(), [&](double at) { return at > started + 4000; });
    (backend % 2 ? warming : warm) += static_cast<double>(late);
  }
  EXPECT_GT(warming / warm, 0.25) << "it would be 0.1 if each proxy kept to its part among all proxies";
  EXPECT_LT(warming / warm, 1);
  // Before the restart each backend had 100 x 10 / 60 = 16.7 requests per second. Three times its capacity
  // fraction of that overloads a backend that is warming up.
  for (const auto& [backend, times] : sent_at) {
    if (backend % 2 == 0) continue;
    std::vector<double> sorted = times;
    std::sort(sorted.begin(), sorted.end());
    for (std::size_t i = 0; i < sorted.size(); ++i) {
      const auto within = std::upper_bound(sorted.begin(), sorted.end(), sorted[i] + 1000) -
                          (sorted.begin() + static_cast<std::ptrdiff_t>(i));
      const double capacity_fraction = 0.25 + 0.75 * (sorted[i] - started) / 10000;
      EXPECT_LE(static_cast<double>(within), 3 * capacity_fraction * 16.7 + 3)
          << backend << " at " << sorted[i] - started;
    }
  }
}

// The work that all proxies together send a backend that is warming up, within the overload window, must stay
// below the overload factor times its capacity. The fleet has a load of 0.7. Backends restart at random and
// warm up as slowly as the settings allow.
TEST(SlowStart, ManyProxiesTogetherStayBelowOverloadFactor) {
  constexpr int kProxies = 60, kBackends = 12;
  constexpr double kWork = 10, kEveryMs = 200, kWindow = 1000;
  const double capacity =
      kProxies * kWork / kEveryMs / kBackends / 0.7;  // of a warm backend, ms of work per ms
  std::size_t sent_to_warming = 0;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937_64 rng(seed);
    std::vector<Balancer> proxies;
    Settings settings = DefaultSettings();
    settings.proxy_count = kProxies;
    settings.overload_window = Duration(kWindow);
    for (int proxy_index = 0; proxy_index < kProxies; ++proxy_index) {
      settings.proxy_index = proxy_index;
      proxies.emplace_back(settings, rng());
    }
    std::vector<Endpoint> list;
    for (BackendId id = 1; id <= kBackends; ++id) list.push_back(MakeEndpoint(id));
    std::vector<Action> actions;
    for (Balancer& b : proxies)
      b.Handle(At(1000), EndpointUpdate{EndpointUpdateKind::kCached, list}, &actions);
    std::map<BackendId, std::deque<double>> sent;
    RequestId id = 0;
    double next_restart = 15000;
    for (double now = 1001; now < 45000; now += kEveryMs / kProxies) {
      if (now >= next_restart) {
        next_restart += 2500;
        Endpoint& e = list[rng() % kBackends];
        e.up_since = At(now);
        sent[e.backend].clear();
        for (Balancer& b : proxies)
          b.Handle(At(now), EndpointUpdate{EndpointUpdateKind::kIncremental, {e}}, &actions);
      }
      Balancer& proxy = proxies[rng() % kProxies];
      RequestReceived s;
      s.request = ++id;
      s.deadline = At(now + 900);
      s.has_work_estimate = true;
      s.estimated_work_ms = kWork;
      actions.clear();
      proxy.Handle(At(now), s, &actions);
      const std::vector<Action> first = actions;
      for (const Action& a : first) {
        const auto* d = std::get_if<StartAttempt>(&a);
        if (!d) continue;
        const Endpoint& e = list[d->backend - 1];
        const double age = now - e.up_since.time_since_epoch().count();
        auto& recent = sent[d->backend];
        recent.push_back(now);
        while (now - recent.front() > kWindow) recent.pop_front();
        if (e.up_since != TimePoint{} && age < settings.slow_start_window.count()) {
          ++sent_to_warming;
          const double capacity_fraction =
              settings.slow_start_min_capacity +
              (1 - settings.slow_start_min_capacity) * age / settings.slow_start_window.count();
          EXPECT_LE(static_cast<double>(recent.size()) * kWork,
                    settings.overload_factor * capacity_fraction * capacity * kWindow)
              << "backend " << d->backend << " " << age << " ms after its start";
        }
        AttemptCompleted end;
        end.request = d->request;
        end.backend = d->backend;
        end.request_completed = true;
        end.outcome = AttemptOutcome::kSuccess;
        end.duration = Duration(15);
        proxy.Handle(At(now), end, &actions);
      }
    }
  }
  EXPECT_GT(sent_to_warming, 1000u) << "backends that are warming up must be used";
}

}  // namespace
}  // namespace copperpoint::testing
