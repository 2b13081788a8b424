// SPDX-License-Identifier: Apache-2.0
//
// Which requests are rejected while backends are overloaded, and when. Guards against an overload that lasts
// because of late answers and client retries, and against rejections without an overload.
#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <vector>

#include "support/balancer_fixture.h"

namespace copperpoint::testing {
namespace {

TEST(LoadShedding, ThrottlesOverloadedFleetUnderLightTraffic) {
  int sent[2] = {0, 0};
  for (const bool overloaded : {false, true}) {
    Settings settings = DefaultSettings();
    settings.proxy_count = 400;
    BalancerHarness harness(settings);
    harness.SetBackends(80);
    for (int i = 0; i < 120; ++i) {
      const RequestId id = next_request_id++;
      const auto backend = harness.SubmitRequest(id, 2, 10, 5000);
      if (backend && i >= 60) ++sent[overloaded];
      if (backend)
        harness.CompleteAttempt(id, 0, *backend, AttemptOutcome::kSuccess,
                                overloaded && i >= 30 ? 250 : 10);  // objective: 200 ms
      harness.AdvanceTime(200);
    }
  }
  EXPECT_EQ(sent[false], 60);
  EXPECT_LT(sent[true], 45);
}

// With cached keys and machines of several speeds, the latency of the fastest responses says nothing about
// the others, and must not be taken for the uncongested latency of all.
TEST(LoadShedding, DoesNotThrottleUnevenResponsesWithinObjective) {
  Settings settings = DefaultSettings();
  settings.proxy_count = 100;
  BalancerHarness harness(settings);
  harness.SetBackends(60);
  int sent = 0;
  for (int i = 0; i < 120; ++i) {
    const RequestId id = next_request_id++;
    const auto backend = harness.SubmitRequest(id, 2, 10, 5000);
    sent += backend.has_value();
    if (backend)
      harness.CompleteAttempt(id, 0, *backend, AttemptOutcome::kSuccess,
                              i % 3 == 0 ? 8 : 110);  // objective: 200 ms
    harness.AdvanceTime(150);
  }
  EXPECT_EQ(sent, 120);
}

// A proxy that starts during an overload sees slow responses only, and must not take them for normal.
TEST(LoadShedding, ProxyStartedUnderOverloadThrottlesByObjective) {
  Settings settings = DefaultSettings();
  settings.proxy_count = 400;
  settings.classes[2].late_weight_fraction = 0.5;
  BalancerHarness harness(settings);
  harness.SetBackends(80);
  int sent = 0;
  for (int i = 0; i < 120; ++i) {
    const RequestId id = next_request_id++;
    const auto backend = harness.SubmitRequest(id, 2, 10, 5000);
    if (backend && i >= 60) ++sent;
    if (backend)
      harness.CompleteAttempt(id, 0, *backend, AttemptOutcome::kSuccess, 240);  // objective: 200 ms
    harness.AdvanceTime(200);
  }
  EXPECT_LT(sent, 50);
}

// A client that one proxy rejects retries at another proxy, which doesn't know of the rejection. If each
// proxy rejected requests at random, such retries would be admitted late.
TEST(LoadShedding, ManyProxiesRejectTheSameRequests) {
  const auto admissions_of = [](std::uint64_t seed, int proxy_index) {
    Settings settings = DefaultSettings();
    settings.proxy_count = 100;
    settings.proxy_index = proxy_index;
    BalancerHarness harness(settings, seed);
    harness.SetBackends(60);
    for (int i = 0; i < 60; ++i) {
      const RequestId id = next_request_id++;
      const auto backend = harness.SubmitRequest(id, 2, 10, 5000);
      if (backend)
        harness.CompleteAttempt(id, 0, *backend, AttemptOutcome::kSuccess, 250);  // objective: 200 ms
      harness.AdvanceTime(50);
    }
    std::vector<bool> admissions;
    for (int request_number = 0; request_number < 200; ++request_number) {
      const RequestId id = next_request_id++;
      const auto backend =
          harness.SubmitRequest(id, 2, 10 + 0.01 * request_number, 5000, 1000 + request_number);
      admissions.push_back(backend.has_value());
      if (backend) harness.CompleteAttempt(id, 0, *backend, AttemptOutcome::kSuccess, 130);
      harness.AdvanceTime(50);
    }
    return admissions;
  };
  const auto one = admissions_of(1, 1), other = admissions_of(2, 42);
  int rejected = 0, differ = 0;
  for (std::size_t i = 0; i < one.size(); ++i) rejected += !one[i], differ += one[i] != other[i];
  EXPECT_GT(rejected, 60);
  EXPECT_LT(rejected, 190);
  EXPECT_LT(differ, 30) << "with rejections at random, 80 or more decisions would differ";
}

// Without work estimates, all requests for a key have the same fingerprint, and would all be rejected.
TEST(LoadShedding, RejectsNoKeyForeverWithoutWorkEstimates) {
  Settings settings = DefaultSettings();
  settings.proxy_count = 100;
  BalancerHarness harness(settings);
  harness.SetBackends(60);
  const auto submit_request = [&](std::uint64_t key, double duration) {
    const RequestId id = next_request_id++;
    const auto backend = harness.SubmitRequest(id, 2, 0, 5000, key);
    if (backend)
      harness.CompleteAttempt(id, 0, *backend, AttemptOutcome::kSuccess, duration);  // objective: 200 ms
    harness.AdvanceTime(50);
    return backend.has_value();
  };
  for (int i = 0; i < 60; ++i) submit_request(0, 250);
  std::map<std::uint64_t, int> served;
  for (int i = 0; i < 600; ++i) served[1 + i % 20] += submit_request(1 + i % 20, 130);
  int all = 0;
  for (const auto& [key, n] : served) {
    EXPECT_GT(n, 0) << key;
    all += n;
  }
  EXPECT_LT(all, 560) << "some requests are rejected, since the fleet is overloaded";
}

TEST(LoadShedding, QueuesBeyondLimitAndRejectsWithinObjective) {
  BalancerHarness harness;
  harness.SetBackends(1);
  harness.AdvanceTime(10000), harness.AdvanceTime(10000);  // the congestion assumed at the start has decayed
  for (int i = 0; i < 4; ++i) ASSERT_TRUE(harness.SubmitRequest(next_request_id++, 2, 10, 5000).has_value());
  EXPECT_FALSE(harness.SubmitRequest(next_request_id++, 2, 10, 5000).has_value());
  double waited = 0;
  while (harness.CountActions<RejectRequest>() == 0 && waited < 2000) harness.AdvanceTime(5), waited += 5;
  EXPECT_EQ(harness.CountActions<RejectRequest>(), 1);
  EXPECT_LE(waited, 205) << "the request must be rejected within the objective, not at the deadline";
}

TEST(LoadShedding, OneSlowFirstResponseRejectsNothing) {
  BalancerHarness harness;
  harness.SetBackends(3);
  const RequestId first = next_request_id++;
  const auto backend = harness.SubmitRequest(first, 2, 10, 5000);
  ASSERT_TRUE(backend.has_value());
  harness.CompleteAttempt(first, 0, *backend, AttemptOutcome::kSuccess, 190);
  EXPECT_TRUE(harness.SubmitRequest(next_request_id++, 2, 20, 350).has_value())
      << "one answer is too few to expect 380 ms, which is past the objective and the deadline";
}

TEST(LoadShedding, RejectsLargeRequestOnlyUnderOverload) {
  for (const bool overloaded : {false, true}) {
    Settings settings = DefaultSettings();
    settings.proxy_count = 400;
    BalancerHarness harness(settings);
    harness.SetBackends(80);
    for (int i = 0; i < 40; ++i) {
      const RequestId id = next_request_id++;
      const auto backend = harness.SubmitRequest(id, 2, 10, 900);
      if (backend)
        harness.CompleteAttempt(id, 0, *backend, AttemptOutcome::kSuccess, overloaded && i >= 30 ? 180 : 20);
      harness.AdvanceTime(200);
    }
    EXPECT_EQ(harness.SubmitRequest(next_request_id++, 0, 600, 900).has_value(), !overloaded)
        << "the request would take 1.2 s, at 2 ms per ms of work";
  }
}

TEST(LoadShedding, RejectsRequestTooLargeForItsDeadlineAtOnce) {
  BalancerHarness harness;
  harness.SetBackends(3);
  for (int i = 0; i < 100; ++i) {
    CompleteOneRequest(harness, AttemptOutcome::kSuccess, {}, 15);
    harness.AdvanceTime(50);
  }
  harness.SubmitRequest(next_request_id++, 0, 1000, 900);
  EXPECT_EQ(harness.CountActions<RejectRequest>(), 1) << "it would take 1500 ms, with a deadline of 900 ms";
  harness.SubmitRequest(next_request_id++, 0, 100, 900);
  EXPECT_EQ(harness.CountActions<StartAttempt>(), 1);
}

// The last retry of a client has the rest of its deadline. If its objective has passed already, its answer is
// late for certain and takes capacity from others.
TEST(LoadShedding, CountsElapsedDeadlineAgainstObjective) {
  Settings settings = DefaultSettings();
  settings.max_retry_after = Duration(300);
  BalancerHarness harness(settings);
  harness.SetBackends(3);
  auto served = [&](double remaining_ms, bool client_retry = false) {
    RequestReceived s;
    s.request = next_request_id++;
    s.request_class = 2;
    s.has_work_estimate = true;
    s.estimated_work_ms = 10;
    s.deadline = At(harness.now + remaining_ms);
    s.client_retry = client_retry;
    harness.Handle(s);
    const auto backend = harness.AttemptBackend(s.request);
    if (backend) harness.CompleteAttempt(s.request, 0, *backend, AttemptOutcome::kSuccess);
    return backend.has_value();
  };
  for (int i = 0; i < 10; ++i) EXPECT_TRUE(served(i % 2 ? 600 : 500)) << "there is no usual timeout yet";
  for (int i = 0; i < 20; ++i) EXPECT_TRUE(served(600));
  EXPECT_TRUE(served(900)) << "100 of the 1000 ms have passed, and the objective is 200 ms";
  EXPECT_FALSE(served(780)) << "220 ms have passed";
  EXPECT_FALSE(served(600, true)) << "a client retry counts half of the 400 ms that may have passed";
  const auto* rejection = std::get_if<RejectRequest>(&harness.actions.front());
  ASSERT_NE(rejection, nullptr);
  EXPECT_GE(rejection->retry_after.count(), 270) << "an earlier retry would also be late";
  EXPECT_LE(rejection->retry_after.count(), 300);
  EXPECT_TRUE(served(600));
}

// Clients that give up after a fifth of the usual time must not be taken for clients at their last retry.
TEST(LoadShedding, AdmitsClientsWithSeveralDeadlines) {
  BalancerHarness harness;
  harness.SetBackends(3);
  RequestId id = 0;
  const auto served = [&](double remaining_ms) {
    const auto backend = harness.SubmitRequest(++id, 2, 10, remaining_ms);
    if (backend) harness.CompleteAttempt(id, 0, *backend, AttemptOutcome::kSuccess);
    return backend.has_value();
  };
  for (int i = 0; i < 100; ++i) served(600);
  for (int i = 0; i < 40; ++i) served(120), served(600);
  int with_short_deadline = 0;
  for (int i = 0; i < 20; ++i) with_short_deadline += served(120), served(600);
  EXPECT_EQ(with_short_deadline, 20);
  EXPECT_FALSE(served(333)) << "333 ms is no usual timeout but the rest of a deadline of 1000 ms";
}

}  // namespace
}  // namespace copperpoint::testing
