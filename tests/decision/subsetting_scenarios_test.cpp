// SPDX-License-Identifier: Apache-2.0
//
// Which backends each of many proxies uses. Guards against backends with too many connections, and against
// backends that no proxy uses.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <vector>

#include "support/balancer_fixture.h"

namespace copperpoint::testing {
namespace {

// If hundreds of proxies each had a connection to every backend, backends would run out of connections.
TEST(Subsetting, LightTrafficUsesFewBackendsSpreadEvenlyOverProxies) {
  constexpr int kProxies = 400, kBackends = 80;
  std::map<BackendId, int> proxies_at;
  for (int proxy_index = 0; proxy_index < kProxies; ++proxy_index) {
    Settings settings = DefaultSettings();
    settings.proxy_count = kProxies;
    settings.proxy_index = proxy_index;
    BalancerHarness harness(settings, proxy_index + 1);
    harness.SetBackends(kBackends);
    std::set<BackendId> used;
    for (int i = 0; i < 100; ++i) {
      harness.AdvanceTime(250);
      const RequestId id = next_request_id++;
      if (const auto backend = harness.SubmitRequest(id, 2, 10))
        used.insert(*backend), harness.CompleteAttempt(id, 0, *backend, AttemptOutcome::kSuccess);
    }
    EXPECT_LE(used.size(), 16u);
    EXPECT_GE(used.size(), 4u);
    for (const BackendId backend : used) ++proxies_at[backend];
  }
  EXPECT_EQ(proxies_at.size(), static_cast<std::size_t>(kBackends));
  const double mean = 1.0 * kProxies * 8 / kBackends;
  for (const auto& [backend, proxies] : proxies_at) EXPECT_NEAR(proxies, mean, mean / 4) << backend;
}

// After most of the fleet has been removed, subsets of a fixed size would bring too many proxies to each of
// the remaining backends.
TEST(Subsetting, ShrunkFleetIsUsedThroughSmallerSubsets) {
  Settings settings = DefaultSettings();
  settings.proxy_count = 640;
  BalancerHarness harness(settings);
  harness.SetBackends(80);
  std::vector<Endpoint> removed;
  for (BackendId id = 31; id <= 80; ++id) removed.push_back(MakeEndpoint(id, 0, 0, EndpointState::kRemoved));
  harness.UpdateEndpoints(removed, EndpointUpdateKind::kIncremental);
  harness.attempts.clear();
  std::set<BackendId> used;
  for (int i = 0; i < 60; ++i) {
    harness.AdvanceTime(250);
    const RequestId id = next_request_id++;
    if (const auto backend = harness.SubmitRequest(id, 2, 10))
      used.insert(*backend), harness.CompleteAttempt(id, 0, *backend, AttemptOutcome::kSuccess);
  }
  EXPECT_LE(used.size(), 4u) << "640 proxies with 3 of 30 backends each are 64 proxies per backend";
}

TEST(Subsetting, ClosesIdleConnectionsOfEjectedBackend) {
  BalancerHarness harness;
  harness.SetBackends(8);
  int closed = 0;
  for (int i = 0; i < 60; ++i) {
    harness.AdvanceTime(250);
    const RequestId id = next_request_id++;
    const auto backend = harness.SubmitRequest(id, 2, 10);
    ASSERT_TRUE(backend.has_value());
    harness.CompleteAttempt(id, 0, *backend,
                            *backend == 1 ? AttemptOutcome::kConnectFailure : AttemptOutcome::kSuccess);
    for (const Action& a : harness.actions) {
      const auto* close = std::get_if<CloseIdleConnections>(&a);
      if (!close) continue;
      ++closed;
      EXPECT_EQ(close->backend, 1u);
    }
  }
  EXPECT_GE(closed, 1);
}

TEST(Subsetting, BusyProxyUsesAllBackends) {
  Settings settings = DefaultSettings();
  settings.proxy_count = 400;
  BalancerHarness harness(settings);
  harness.SetBackends(40);
  std::set<BackendId> used;
  for (int i = 0; i < 2000; ++i) {
    harness.AdvanceTime(5);
    const RequestId id = next_request_id++;
    if (const auto backend = harness.SubmitRequest(id, 2, 10))
      used.insert(*backend), harness.CompleteAttempt(id, 0, *backend, AttemptOutcome::kSuccess);
  }
  EXPECT_EQ(used.size(), 40u);
}

// Proxies at evenly spaced positions of the ring must use subsets that cover it evenly, whatever their
// proxy_index is. A proxy whose position changes must close its idle connections.
TEST(Subsetting, AssignedPositionsDivideBackendsEvenly) {
  constexpr int kBackends = 64, kProxies = 8;
  std::map<BackendId, int> proxies_at;
  for (int proxy = 0; proxy < kProxies; ++proxy) {
    Settings settings = DefaultSettings();
    settings.proxy_count = 200;
    settings.proxy_index = 3;  // the same at all proxies
    BalancerHarness harness(settings);
    harness.SetBackends(kBackends);
    harness.Handle(SubsetPosition{static_cast<double>(proxy) / kProxies});
    std::set<BackendId> used;
    for (RequestId id = 1; id <= 400; ++id) {
      const auto backend = harness.SubmitRequest(id);
      ASSERT_TRUE(backend.has_value());
      used.insert(*backend);
      harness.CompleteAttempt(id, 0, *backend, AttemptOutcome::kSuccess);
    }
    EXPECT_LE(used.size(), 8u);
    for (const BackendId backend : used) ++proxies_at[backend];
    harness.Handle(SubsetPosition{static_cast<double>(proxy) / kProxies + 0.5 / kProxies});
    EXPECT_GE(harness.CountActions<CloseIdleConnections>(), 3);
  }
  EXPECT_EQ(proxies_at.size(), static_cast<std::size_t>(kBackends));
  for (const auto& [backend, n] : proxies_at) EXPECT_EQ(n, 1) << backend;
}

}  // namespace
}  // namespace copperpoint::testing
