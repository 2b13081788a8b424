// SPDX-License-Identifier: Apache-2.0
//
// What a backend that has just started is sent, by one proxy and by many.
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

TEST(ColdStart, BudgetOverEveryWindow) {
  Rig rig;
  std::vector<Endpoint> list = {Entry(1), Entry(2), Entry(3)};
  rig.List(list);
  // 30 ms of work every 10 ms, answered at once, for 20 s: each warm server gets about 1 a ms.
  auto run = [&](double ms) {
    std::vector<std::pair<double, double>> sent;
    for (double t = 0; t < ms; t += 10) {
      rig.Tick(10);
      std::vector<std::pair<RequestId, BackendId>> open;
      for (int k = 0; k < 3; ++k) {
        const RequestId id = next_id++;
        const auto s = rig.Ask(id, 2, 10, 900);
        if (!s) continue;
        open.emplace_back(id, *s);
        if (*s == 3) sent.emplace_back(rig.now, 10);
      }
      for (const auto& [id, s] : open) rig.End(id, 0, s, AttemptOutcome::kSuccess, 5);
    }
    return sent;
  };
  run(20000);
  rig.List({Entry(3, 0, 0, EndpointState::kReady, rig.now)},
           EndpointUpdateKind::kIncremental);  // the same id, started again
  const double start = rig.now;
  const auto sent = run(10000);
  double most = 0;
  for (std::size_t i = 0; i < sent.size(); ++i) {
    double window = 0;
    for (std::size_t k = i; k < sent.size() && sent[k].first - sent[i].first < 1000; ++k)
      window += sent[k].second;
    const double share = 0.25 + 0.75 * std::min(1.0, (sent[i].first - start + 1000) / 10000);
    most = std::max(most, window / (share * 1000));
  }
  EXPECT_LE(most, 2.5) << "of what a warm server was sent, times the cold share; it falls over at 3";
  EXPECT_GT(sent.size(), 100u) << "and it is brought back";
}

// An overloaded fleet is sent far more than it serves; the cold server's budget must follow what is served.
TEST(ColdStart, TheBudgetFollowsWhatWarmServersServe) {
  Settings s = Usual();
  s.max_attempts = 1;
  Rig rig(s);
  rig.List({Entry(1), Entry(2), Entry(3, 0, 0, EndpointState::kReady, rig.now)});
  int sent = 0;
  for (int i = 0; i < 800; ++i) {
    rig.Tick(5);
    const RequestId id = next_id++;
    const auto server = rig.Ask(id, 2, 10, 900);
    if (!server) continue;
    sent += *server == 3;
    rig.End(id, 0, *server, i % 20 ? AttemptOutcome::kBackendRejected : AttemptOutcome::kSuccess, 5);
  }
  EXPECT_LE(sent, 6) << "4 s, of a fleet that served 0.05 of 2 ms of work a ms";
}

// What the whole fleet served a moment ago is no measure of the one server that is left, and cold.
TEST(ColdStart, AfterALossOfMostTheBudgetIsNotThatOfAll) {
  Settings s = Usual();
  s.max_attempts = 1;
  Rig rig(s);
  rig.Servers(6);
  const auto run = [&](int n) {
    double sent = 0;
    for (int i = 0; i < n; ++i) {
      rig.Tick(5);
      const RequestId id = next_id++;
      const auto server = rig.Ask(id, 2, 10, 900);
      if (server) sent += 10, rig.End(id, 0, *server, AttemptOutcome::kSuccess, 5);
    }
    return sent;
  };
  run(3000);
  rig.List({Entry(1, 0, 0, EndpointState::kReady, rig.now)});
  // A warm one has served 0.33 of work a ms; it starts at a quarter and falls over at three times that.
  EXPECT_LT(run(200), 1000) << "of 2000 that are asked for in this second";
}

// A rolling deploy turned every server cold, and a budget of what is served now starved itself (catalogue
// big-2).
TEST(ColdStart, ABudgetDoesNotStarveItselfWhenNoServerIsWarm) {
  Settings settings = Usual();
  settings.slow_start_window = Duration(20000);
  settings.slow_start_min_capacity = 0.1;
  Rig rig(settings);
  rig.Servers(6);
  bool served = true;
  auto run = [&](int n) {
    int sent = 0;
    for (int i = 0; i < n; ++i) {
      rig.Tick(20);
      const RequestId id = next_id++;
      const auto s = rig.Ask(id, 2, 10, 400);
      if (s) ++sent, rig.End(id, 0, *s, served ? AttemptOutcome::kSuccess : AttemptOutcome::kCancelled, 12);
    }
    return sent;
  };
  run(1000);
  std::vector<Endpoint> cold;
  for (BackendId id = 1; id <= 6; ++id) cold.push_back(Entry(id, 0, 0, EndpointState::kReady, rig.now));
  rig.List(cold);
  served = false;
  run(250);
  served = true;
  EXPECT_GT(run(100), 70) << "after five seconds in which nothing was answered";
}

// join+vast: while most servers are cold, what all serve is no measure of what the few warm ones could do.
TEST(ColdStart, AMostlyColdFleetIsNoReasonToSendAColdServerMore) {
  Settings settings = Usual();
  settings.slow_start_window = Duration(60000);
  settings.slow_start_min_capacity = 0.1;
  Rig rig(settings);
  std::vector<Endpoint> list;
  for (BackendId id = 1; id <= 8; ++id) list.push_back(Entry(id));
  rig.List(list);
  const auto run = [&](int n) {
    int to_first = 0;
    for (int i = 0; i < n; ++i) {
      rig.Tick(5);
      const RequestId id = next_id++;
      const auto s = rig.Ask(id, 2, 10, 400);
      if (!s) continue;
      to_first += *s == 1;
      rig.End(id, 0, *s, AttemptOutcome::kSuccess, 12);
    }
    return to_first;
  };
  run(2000);  // 2 ms of work a ms: 0.25 by each
  for (BackendId id = 1; id <= 7; ++id) list[id - 1] = Entry(id, 0, 0, EndpointState::kReady, rig.now);
  rig.List(list);
  run(1600);  // eight seconds, in which the rates of late forget what was
  // At 0.22 of its capacity and three times that at the most: 10 ms each, over two seconds.
  EXPECT_LE(run(400), 0.6 * 3 * 0.24 * 0.25 * 2000 / 10 * 2);
}

TEST(ColdStart, RejectedWorkCountsToo) {
  Rig rig;
  rig.List({Entry(1, 0, 0, EndpointState::kReady, 99999)});
  int sent = 0;
  for (int i = 0; i < 50; ++i) {
    const RequestId id = next_id++;
    const auto s = rig.Ask(id, 2, 10, 2000);
    if (s) ++sent, rig.End(id, 0, *s, AttemptOutcome::kBackendRejected);
  }
  EXPECT_LE(sent, 2) << "nothing is known of warm servers: one mean request a window";
}

TEST(ColdStart, AProxyThatKnowsNothingStillServes) {
  Rig rig;
  rig.List({Entry(1, 0, 0, EndpointState::kReady, 99999), Entry(2, 0, 0, EndpointState::kReady, 99999)});
  const RequestId id = next_id++;
  bool sent = rig.Ask(id, 0).has_value();
  for (int i = 0; i < 20 && !sent; ++i) rig.Tick(5), sent = rig.SentTo(id).has_value();
  EXPECT_TRUE(sent) << "within half of the aim";
}

// Hundreds of proxies that each sent a starting server one first request at once pushed it over (big-1 and
// big-2 of a catalogue: 4.1 times what it could do).
TEST(ColdStart, ManyProxiesTakeTurnsAtAStartingServer) {
  Settings settings = Usual();
  settings.proxy_count = 400;
  settings.slow_start_min_capacity = 0.1;
  int at_once = 0;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    Rig rig(settings, seed);
    rig.List({Entry(1), Entry(2), Entry(3)});
    for (int i = 0; i < 100; ++i) {  // a request every 200 ms
      rig.Tick(200);
      if (const auto s = rig.Ask(next_id++, 2, 10)) rig.End(next_id - 1, 0, *s, AttemptOutcome::kSuccess);
    }
    rig.List({Entry(3, 0, 0, EndpointState::kReady, rig.now)}, EndpointUpdateKind::kIncremental);
    for (int k = 0; k < 5; ++k) {
      rig.Tick(200);
      if (const auto s = rig.Ask(next_id++, 2, 10))
        at_once += *s == 3, rig.End(next_id - 1, 0, *s, AttemptOutcome::kSuccess);
    }
  }
  // Each warm server serves 400 x 10 ms of work each 600 ms: 6.7 a ms. A cold one does 0.1 to 0.19 of that in
  // its first second, and falls over at 3 times as much.
  EXPECT_LE(at_once * 10, 3 * 0.145 * 6.7 * 1000);
  EXPECT_GT(at_once, 50) << "and it is used";
}

// A hundred proxies that each use some of sixty servers, half of which start: together they give a cold one
// about its share of what a warm one gets, and never what pushes it over.
TEST(ColdStart, ProxiesWithSubsetsTogetherGiveAColdServerItsShare) {
  constexpr int kProxies = 100, kServers = 60, kRounds = 80;  // of 100 ms
  constexpr double kWork = 10;
  Settings settings = Usual();
  settings.proxy_count = kProxies;
  std::map<BackendId, std::vector<double>> sent_at;
  double started = 0;
  for (int me = 0; me < kProxies; ++me) {
    settings.proxy_index = me;
    Rig rig(settings, static_cast<std::uint64_t>(me) + 1);
    RequestId id = 0;
    const auto ask = [&](bool count) {
      rig.Tick(100);
      if (const auto s = rig.Ask(++id, 2, kWork)) {
        if (count) sent_at[*s].push_back(rig.now);
        rig.End(id, 0, *s, AttemptOutcome::kSuccess);
      }
    };
    rig.Servers(kServers);
    for (int i = 0; i < 100; ++i) ask(false);
    started = rig.now;
    std::vector<Endpoint> restarted;
    for (BackendId s = 1; s <= kServers; s += 2)
      restarted.push_back(Entry(s, 0, 0, EndpointState::kReady, started));
    rig.List(restarted, EndpointUpdateKind::kIncremental);
    for (int i = 0; i < kRounds; ++i) ask(true);
  }
  // Over the last four seconds cold servers have 0.55 to 0.85 of their capacity: 0.7 in the mean.
  double warm = 0, cold = 0;
  for (const auto& [server, times] : sent_at) {
    const auto late =
        std::count_if(times.begin(), times.end(), [&](double at) { return at > started + 4000; });
    (server % 2 ? cold : warm) += static_cast<double>(late);
  }
  EXPECT_GT(cold / warm, 0.25) << "by the share of one of all proxies it is 0.1";
  EXPECT_LT(cold / warm, 1);
  // Before the start a server had 100 x 10 requests a second over 60: 16.7. Three times its share pushes a
  // cold one over.
  for (const auto& [server, times] : sent_at) {
    if (server % 2 == 0) continue;
    std::vector<double> sorted = times;
    std::sort(sorted.begin(), sorted.end());
    for (std::size_t i = 0; i < sorted.size(); ++i) {
      const auto within = std::upper_bound(sorted.begin(), sorted.end(), sorted[i] + 1000) -
                          (sorted.begin() + static_cast<std::ptrdiff_t>(i));
      const double share = 0.25 + 0.75 * (sorted[i] - started) / 10000;
      EXPECT_LE(static_cast<double>(within), 3 * share * 16.7 + 3) << server << " at " << sorted[i] - started;
    }
  }
}

// Rule four over many proxies: what all together send a cold server within the rule's window stays under the
// multiple of what it can do then. The fleet has a load of 0.7; servers restart at random and are as slow to
// warm as the settings allow.
TEST(Rules, ColdServersAreNotPushedOverByManyProxies) {
  constexpr int kProxies = 60, kServers = 12;
  constexpr double kWork = 10, kEveryMs = 200, kWindow = 1000;
  const double capacity = kProxies * kWork / kEveryMs / kServers / 0.7;  // work a ms of a warm server
  std::size_t to_cold = 0;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937_64 rng(seed);
    std::vector<Balancer> proxies;
    Settings settings = Usual();
    settings.proxy_count = kProxies;
    settings.overload_window = Duration(kWindow);
    for (int me = 0; me < kProxies; ++me) {
      settings.proxy_index = me;
      proxies.emplace_back(settings, rng());
    }
    std::vector<Endpoint> list;
    for (BackendId id = 1; id <= kServers; ++id) list.push_back(Entry(id));
    std::vector<Action> actions;
    for (Balancer& b : proxies)
      b.Handle(At(1000), EndpointUpdate{EndpointUpdateKind::kCached, list}, &actions);
    std::map<BackendId, std::deque<double>> sent;
    RequestId id = 0;
    double next_restart = 15000;
    for (double now = 1001; now < 45000; now += kEveryMs / kProxies) {
      if (now >= next_restart) {
        next_restart += 2500;
        Endpoint& e = list[rng() % kServers];
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
          ++to_cold;
          const double share = settings.slow_start_min_capacity + (1 - settings.slow_start_min_capacity) *
                                                                      age /
                                                                      settings.slow_start_window.count();
          EXPECT_LE(static_cast<double>(recent.size()) * kWork,
                    settings.overload_factor * share * capacity * kWindow)
              << "server " << d->backend << " " << age << " ms after its start";
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
  EXPECT_GT(to_cold, 1000u) << "cold servers must be used at all";
}

}  // namespace
}  // namespace copperpoint::testing
