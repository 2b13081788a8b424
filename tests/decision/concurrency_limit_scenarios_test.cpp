// SPDX-License-Identifier: Apache-2.0
//
// How many attempts a proxy has in flight. Guards against queues at the backends, and against requests that
// are held back although there is capacity.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <tuple>
#include <vector>

#include "support/balancer_fixture.h"

namespace copperpoint::testing {
namespace {

// If each of many proxies had a fixed minimum, they would together overload the backends.
TEST(ConcurrencyLimit, MinimumFollowsOverloadOfBackends) {
  std::size_t in_flight[2];
  for (const bool overloaded : {false, true}) {
    Settings settings = DefaultSettings();
    settings.proxy_count = 400;
    BalancerHarness harness(settings);
    harness.SetBackends(80);
    for (int i = 0; i < 60; ++i) {
      const RequestId id = next_request_id++;
      const auto backend = harness.SubmitRequest(id, 2, 10, 5000);
      if (backend)
        harness.CompleteAttempt(id, 0, *backend, AttemptOutcome::kSuccess, overloaded && i >= 45 ? 120 : 10);
      harness.AdvanceTime(200);
    }
    const std::size_t before = harness.attempts.size();
    for (int i = 0; i < 20; ++i) harness.SubmitRequest(next_request_id++, 2, 10, 5000);
    in_flight[overloaded] = harness.attempts.size() - before;
  }
  EXPECT_EQ(in_flight[false], 4u);
  EXPECT_LE(in_flight[true], 2u);
}

// A backend that is warming up has little capacity and must raise the minimum only by that fraction.
TEST(ConcurrencyLimit, WarmingBackendsRaiseMinimumByTheirShareOnly) {
  Settings s = DefaultSettings();
  s.proxy_count = 4;
  BalancerHarness harness(s);
  std::vector<Endpoint> list = {MakeEndpoint(1), MakeEndpoint(2)};
  for (BackendId id = 3; id <= 10; ++id)
    list.push_back(MakeEndpoint(id, 0, 0, EndpointState::kReady, harness.now));
  harness.UpdateEndpoints(list);
  for (int i = 0; i < 50; ++i) harness.SubmitRequest(next_request_id++, 0, 10, 900);
  EXPECT_EQ(harness.attempts.size(), 3u)
      << "3 attempts at each of 2 + 8 x 0.25 backends, split over 4 proxies";
}

// A new proxy knows no rate of answers yet. Too many attempts at its start would leave queues at the backends
// that take far longer to drain.
TEST(ConcurrencyLimit, NewProxyStartsWithSmallLimit) {
  Settings s = DefaultSettings();
  s.proxy_count = 4;
  BalancerHarness harness(s);
  harness.SetBackends(4);
  for (int i = 0; i < 50; ++i) harness.SubmitRequest(next_request_id++, 0, 10, 900);
  EXPECT_EQ(harness.attempts.size(), 3u) << "3 attempts at each of 4 backends, split over 4 proxies";
}

TEST(ConcurrencyLimit, AdmitsLargeRequestOnIdleProxy) {
  BalancerHarness harness;
  harness.SetBackends(3);
  for (int i = 0; i < 100; ++i) {
    CompleteOneRequest(harness, AttemptOutcome::kSuccess, {});
    harness.AdvanceTime(50);
  }
  EXPECT_TRUE(harness.SubmitRequest(next_request_id++, 2, 150, 5000).has_value());
}

// If a slow fleet were sent more than it answers within the objective, client retries would sustain the
// overload.
TEST(ConcurrencyLimit, SlowFleetGetsOnlyWhatItServesInTime) {
  Settings s = DefaultSettings();
  s.proxy_count = 2;
  BalancerHarness harness(s);
  harness.SetBackends(3);
  std::deque<std::tuple<double, RequestId, BackendId>> out;
  std::size_t most = 0;
  for (int i = 0; i < 2000; ++i) {
    harness.AdvanceTime(5);
    const RequestId id = next_request_id++;
    if (const auto to = harness.SubmitRequest(id, 2, 10, 900)) out.emplace_back(harness.now, id, *to);
    // The fleet completes one attempt every 20 ms, the oldest first.
    if (i % 4 == 0 && !out.empty()) {
      const auto [at, oldest, backend] = out.front();
      out.pop_front();
      harness.CompleteAttempt(oldest, 0, backend, AttemptOutcome::kSuccess, harness.now - at);
      for (const StartAttempt& d : harness.attempts) {
        if (std::none_of(out.begin(), out.end(),
                         [&](const auto& o) { return std::get<1>(o) == d.request; }) &&
            harness.AttemptBackend(d.request))
          out.emplace_back(harness.now, d.request, d.backend);
      }
    }
    if (i > 1000) most = std::max(most, out.size());
  }
  EXPECT_LE(most, 8u) << "0.05 answers per ms x a third of the objective of 200 ms, plus the deviation, is 5";
}

// Random arrivals exceed the mean number in flight by chance; a limit at the mean would reject them.
TEST(ConcurrencyLimit, AllowsForRandomArrivals) {
  Settings settings = DefaultSettings();
  settings.classes[2].latency_objective = Duration(1000);
  settings.classes[2].deadline = Duration(5000);
  BalancerHarness harness(settings);
  harness.SetBackends(3);
  for (int i = 0; i < 4000; ++i) {
    CompleteOneRequest(harness, AttemptOutcome::kSuccess, {});
    harness.AdvanceTime(2);
  }
  for (int i = 0; i < 40; ++i) harness.SubmitRequest(next_request_id++, 2, 10, 5000);
  EXPECT_EQ(harness.attempts.size() - 4000, 19u)
      << "0.5 answers per ms x 3 x 10 ms is 15, and its deviation is 3.9";
}

// With a long objective, the limit must not grow with it: long queues at backends lower their throughput.
TEST(ConcurrencyLimit, LongObjectivesDoNotRaiseIt) {
  Settings settings = DefaultSettings();
  settings.classes[2].latency_objective = Duration(1000);
  settings.classes[2].deadline = Duration(5000);
  settings.proxy_count = 2;
  BalancerHarness harness(settings);
  harness.SetBackends(3);
  for (int i = 0; i < 200; ++i) {
    CompleteOneRequest(harness, AttemptOutcome::kSuccess, {});
    harness.AdvanceTime(20);
  }
  for (int i = 0; i < 40; ++i) harness.SubmitRequest(next_request_id++, 2, 10, 5000);
  const auto out = harness.attempts.size() - 200;
  EXPECT_EQ(out, 5u) << "0.05 answers per ms x 3 x 10 ms is less than 3 attempts per backend, split over 2 "
                        "proxies; a third of "
                        "the objective would give 16";
}

}  // namespace
}  // namespace copperpoint::testing
