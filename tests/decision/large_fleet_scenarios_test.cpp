// SPDX-License-Identifier: Apache-2.0
//
// Fleets that are so large that backend selection ranks only a sample of the backends.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "support/balancer_fixture.h"

namespace copperpoint::testing {
namespace {

constexpr int kMany = 500;

TEST(LargeFleet, FindsTheOnlyReadyBackend) {
  BalancerHarness harness;
  harness.SetBackends(kMany);
  std::vector<Endpoint> draining;
  for (BackendId id = 1; id <= kMany; ++id) {
    if (id != 77) draining.push_back(MakeEndpoint(id, 0, 0, EndpointState::kDraining));
  }
  harness.UpdateEndpoints(draining, EndpointUpdateKind::kIncremental);
  for (RequestId id = 1; id <= 20; ++id) {
    EXPECT_EQ(harness.SubmitRequest(id), std::optional<BackendId>(77));
    harness.CompleteAttempt(id, 0, 77, AttemptOutcome::kSuccess);
  }
}

// Backends without slow start budget fill nearly every sample; the backend with capacity must still be found.
TEST(LargeFleet, FindsWarmBackendAmongWarmingOnes) {
  Settings settings = DefaultSettings();
  settings.slow_start_min_capacity = 0.001;
  settings.slow_start_window = Duration(1e7);
  BalancerHarness harness(settings);
  std::vector<Endpoint> list;
  for (BackendId id = 1; id <= kMany; ++id)
    list.push_back(MakeEndpoint(id, 0, 0, EndpointState::kReady, id == 9 ? 0 : harness.now));
  harness.UpdateEndpoints(list);
  int warm = 0;
  for (RequestId id = 1; id <= 50; ++id) {
    harness.AdvanceTime(1);
    const auto backend = harness.SubmitRequest(id);
    ASSERT_TRUE(backend.has_value());
    warm += *backend == 9;
    harness.CompleteAttempt(id, 0, *backend, AttemptOutcome::kSuccess);
  }
  EXPECT_GE(warm, 40);
}

TEST(LargeFleet, AppliesIncrementalChangesAtOnce) {
  BalancerHarness harness;
  harness.SetBackends(kMany);
  std::mt19937_64 random(5);
  std::map<BackendId, EndpointState> truth;
  for (BackendId id = 1; id <= kMany; ++id) truth[id] = EndpointState::kReady;
  std::set<BackendId> used;
  RequestId request = 0;
  for (int step = 0; step < 4000; ++step) {
    const auto id = static_cast<BackendId>(1 + random() % (kMany + 50));  // some were never listed
    const auto state = static_cast<EndpointState>(random() % 3);
    truth[id] = state;
    harness.UpdateEndpoints({MakeEndpoint(id, 0, 0, state)}, EndpointUpdateKind::kIncremental);
    harness.now += 1;
    const auto backend = harness.SubmitRequest(++request);
    ASSERT_TRUE(backend.has_value());
    ASSERT_EQ(truth[*backend], EndpointState::kReady) << "step " << step;
    used.insert(*backend);
    harness.CompleteAttempt(request, 0, *backend, AttemptOutcome::kSuccess);
  }
  EXPECT_GT(used.size(), 200u) << "every part of the fleet is used";
}

TEST(LargeFleet, SpreadsLoadOverEqualBackends) {
  BalancerHarness harness;
  harness.SetBackends(kMany);
  RequestId request = 0;
  // A new proxy uses few backends, until a thousand requests per second have been measured for a while.
  for (int ms = 0; ms < 8000; ++ms) {
    harness.AdvanceTime(1);
    const auto backend = harness.SubmitRequest(++request);
    ASSERT_TRUE(backend.has_value());
    harness.CompleteAttempt(request, 0, *backend, AttemptOutcome::kSuccess);
  }
  std::map<BackendId, int> out;
  int sent = 0, most = 0;
  for (int k = 0; k < kMany / 2; ++k) {
    const auto backend = harness.SubmitRequest(++request, 0, 10, 100000);
    if (backend) ++sent, most = std::max(most, ++out[*backend]);
  }
  EXPECT_GT(sent, kMany / 4);
  EXPECT_LE(most, 2) << "with half as many requests as backends, no backend needs more than two";
}

TEST(LargeFleet, ReusesSlotsOfRemovedBackends) {
  BalancerHarness harness;
  RequestId request = 0;
  for (int life = 0; life < 20; ++life) {
    std::vector<Endpoint> list;
    for (int i = 0; i < 100; ++i) list.push_back(MakeEndpoint(static_cast<BackendId>(1000 * life + i + 1)));
    harness.UpdateEndpoints(list);
    for (int k = 0; k < 50; ++k) {
      harness.AdvanceTime(10);
      const auto backend = harness.SubmitRequest(++request);
      ASSERT_TRUE(backend.has_value());
      ASSERT_EQ((*backend - 1) / 1000, static_cast<BackendId>(life)) << "the backend is no longer listed";
      harness.CompleteAttempt(request, 0, *backend, AttemptOutcome::kSuccess);
    }
    harness.AdvanceTime(700000);
  }
}

}  // namespace
}  // namespace copperpoint::testing
