// SPDX-License-Identifier: Apache-2.0
//
// Requests with a key are sent to backends that have served that key.
#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <set>

#include "support/balancer_fixture.h"

namespace copperpoint::testing {
namespace {

constexpr int kMany = 500;

// If proxies used different backends for a key, each of those backends would do the work for the key anew.
TEST(KeyAffinity, ManyProxiesUseTheSameFewBackendsForAKey) {
  Settings settings = DefaultSettings();
  settings.proxy_count = 20;
  settings.key_affinity = true;
  std::map<std::uint64_t, std::set<BackendId>> used[2];  // by key; backend 3 is removed in the second round
  for (int proxy = 0; proxy < 20; ++proxy) {
    settings.proxy_index = proxy;
    BalancerHarness harness(settings, static_cast<std::uint64_t>(proxy + 1));
    harness.SetBackends(8);  // few enough that each proxy's subset contains all of them
    for (const int round : {0, 1}) {
      if (round == 1)
        harness.UpdateEndpoints({MakeEndpoint(3, 0, 0, EndpointState::kRemoved)},
                                EndpointUpdateKind::kIncremental);
      for (std::uint64_t key = 1; key <= 12; ++key) {
        harness.AdvanceTime(5000);  // the proxy's own history of the key has expired
        const RequestId id = next_request_id++;
        const auto backend = harness.SubmitRequest(id, 2, 10, 400, key);
        ASSERT_TRUE(backend.has_value());
        used[round][key].insert(*backend);
        harness.CompleteAttempt(id, 0, *backend, AttemptOutcome::kSuccess);
      }
    }
  }
  std::set<BackendId> all;
  for (const auto& [key, backends] : used[0]) {
    EXPECT_LE(backends.size(), 4u) << key;
    all.insert(backends.begin(), backends.end());
    for (const BackendId backend : backends)
      EXPECT_TRUE(backend == 3 || used[1][key].contains(backend))
          << "the key left a backend that is still listed";
    EXPECT_LE(used[1][key].size(), 4u) << key;
  }
  EXPECT_EQ(all.size(), 8u) << "keys are spread over all backends";
}

TEST(KeyAffinity, PrefersBackendThatServedTheKeyUnlessFarBusier) {
  Settings settings = DefaultSettings();
  settings.key_affinity = true;
  BalancerHarness harness(settings);
  harness.SetBackends(4);
  auto submit_request = [&](std::uint64_t key, double work = 10) {
    return *harness.SubmitRequest(next_request_id++, 0, work, 5000, key);
  };
  const BackendId key_backend = submit_request(7);
  EXPECT_EQ(submit_request(7), key_backend) << "10 ms in flight weigh less than the work that the key saves";
  EXPECT_NE(submit_request(8), key_backend) << "the request has another key";
  EXPECT_NE(submit_request(0), key_backend) << "the request has no key";
  EXPECT_NE(submit_request(7, 1), key_backend) << "20 ms in flight weigh more than so small a saving";

  BalancerHarness after_expiry(settings);
  after_expiry.SetBackends(4);
  std::set<BackendId> later;
  for (int i = 0; i < 20; ++i) {
    const RequestId id = next_request_id++;
    later.insert(*after_expiry.SubmitRequest(id, 0, 10, 5000, 9));
    after_expiry.CompleteAttempt(id, 0, after_expiry.attempts.back().backend, AttemptOutcome::kSuccess);
    after_expiry.AdvanceTime(4001);
  }
  EXPECT_GT(later.size(), 1u) << "the history of the key has expired before each request";

  settings.key_affinity = false;
  BalancerHarness without_affinity(settings);
  without_affinity.SetBackends(2);
  const auto first = without_affinity.SubmitRequest(next_request_id++, 0, 10, 5000, 7);
  EXPECT_NE(without_affinity.SubmitRequest(next_request_id++, 0, 10, 5000, 7), first);
}

// The same keys are sent to the same backends again after pauses in which the history of the keys expires.
// Guards against a fault in the removal of expired entries of a key that is recorded again.
TEST(KeyAffinity, RemembersAKeyAgainAfterItExpired) {
  Settings settings = DefaultSettings();
  settings.key_affinity = true;
  BalancerHarness harness(settings);
  harness.SetBackends(2);
  for (int round = 0; round < 4; ++round) {
    for (int i = 0; i < 6; ++i) {
      const RequestId id = next_request_id++;
      const auto backend = harness.SubmitRequest(id, 1, 10, 1000, 1 + i % 3);
      ASSERT_TRUE(backend.has_value());
      harness.CompleteAttempt(id, 0, *backend, AttemptOutcome::kSuccess);
      harness.AdvanceTime(10);
    }
    harness.AdvanceTime(5000);
  }
}

TEST(KeyAffinity, KeyStaysAtItsBackendInALargeFleet) {
  Settings settings = DefaultSettings();
  settings.key_affinity = true;
  BalancerHarness harness(settings);
  harness.SetBackends(kMany);
  const auto first = harness.SubmitRequest(1, 0, 10, 1000, 42);
  ASSERT_TRUE(first.has_value());
  harness.CompleteAttempt(1, 0, *first, AttemptOutcome::kSuccess);
  for (RequestId id = 2; id <= 100; ++id) {
    harness.AdvanceTime(10);
    const auto other = harness.SubmitRequest(1000 + id);
    harness.CompleteAttempt(1000 + id, 0, *other, AttemptOutcome::kSuccess);
    EXPECT_EQ(harness.SubmitRequest(id, 0, 10, 1000, 42), first);
    harness.CompleteAttempt(id, 0, *first, AttemptOutcome::kSuccess);
  }
}

}  // namespace
}  // namespace copperpoint::testing
