// SPDX-License-Identifier: Apache-2.0
//
// How many attempts a proxy has in flight.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <tuple>
#include <vector>

#include "support/balancer_fixture.h"

namespace copperpoint::testing {
namespace {

// Together, many proxies with a fixed minimum would overload the backends.
TEST(ConcurrencyLimit, MinimumFollowsOverloadOfBackends) {
  std::size_t in_flight[2];
  for (const bool overloaded : {false, true}) {
    Settings settings = DefaultSettings();
    settings.proxy_count = 400;
    BalancerHarness harness(settings);
    harness.SetBackends(80);
    for (int i = 0; i < 60; ++i) {
      const RequestId id = next_request_id++;
      const auto s = harness.SubmitRequest(id, 2, 10, 5000);
      if (s) harness.CompleteAttempt(id, 0, *s, AttemptOutcome::kSuccess, overloaded && i >= 45 ? 120 : 10);
      harness.AdvanceTime(200);
    }
    const std::size_t before = harness.attempts.size();
    for (int i = 0; i < 20; ++i) harness.SubmitRequest(next_request_id++, 2, 10, 5000);
    in_flight[overloaded] = harness.attempts.size() - before;
  }
  EXPECT_EQ(in_flight[false], 4u);
  EXPECT_LE(in_flight[true], 2u);
}

// Backends that warm up have little capacity, and count for as little.
TEST(ConcurrencyLimit, WarmingBackendsRaiseMinimumByTheirShareOnly) {
  Settings s = DefaultSettings();
  s.proxy_count = 4;
  BalancerHarness harness(s);
  std::vector<Endpoint> list = {MakeEndpoint(1), MakeEndpoint(2)};
  for (BackendId id = 3; id <= 10; ++id)
    list.push_back(MakeEndpoint(id, 0, 0, EndpointState::kReady, harness.now));
  harness.UpdateEndpoints(list);
  for (int i = 0; i < 50; ++i) harness.SubmitRequest(next_request_id++, 0, 10, 900);
  EXPECT_EQ(harness.attempts.size(), 3u) << "2 + 8 x 0.25 backends, 3 each, of 4 proxies";
}

// It knows no rate yet, and a flood would leave queues that last far longer.
TEST(ConcurrencyLimit, NewProxyStartsWithSmallLimit) {
  Settings s = DefaultSettings();
  s.proxy_count = 4;
  BalancerHarness harness(s);
  harness.SetBackends(4);
  for (int i = 0; i < 50; ++i) harness.SubmitRequest(next_request_id++, 0, 10, 900);
  EXPECT_EQ(harness.attempts.size(), 3u) << "3 a backend, of 4 proxies";
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

// Otherwise client retries would sustain the overload.
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
    // The fleet completes one in 20 ms, the oldest first.
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
  EXPECT_LE(most, 8u) << "0.05 a ms x a third of the objective of 200 ms, and its deviation, is 5";
}

// A limit at the mean number in flight would reject what arrives by chance.
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
  EXPECT_EQ(harness.attempts.size() - 4000, 19u) << "0.5 a ms x 3 x 10 ms is 15, and its deviation 3.9";
}

// Long queues at backends would lower their throughput.
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
  EXPECT_EQ(out, 5u)
      << "0.05 a ms x 3 x 10 ms is less than 3 a backend, of 2 proxies; a third of the objective would be 16";
}

}  // namespace
}  // namespace copperpoint::testing
