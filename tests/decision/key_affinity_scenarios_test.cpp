// SPDX-License-Identifier: Apache-2.0
//
// Requests of one key go to backends that have served it.
#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <set>

#include "support/balancer_fixture.h"

namespace copperpoint::testing {
namespace {

constexpr int kMany = 500;

// Otherwise each backend would do the work for a key anew.
TEST(KeyAffinity, ManyProxiesUseTheSameFewBackendsForAKey) {
  Settings settings = DefaultSettings();
  settings.proxy_count = 20;
  settings.key_affinity = true;
  std::map<std::uint64_t, std::set<BackendId>> used[2];  // by key; in the second round backend 3 is removed
  for (int me = 0; me < 20; ++me) {
    settings.proxy_index = me;
    BalancerHarness harness(settings, static_cast<std::uint64_t>(me + 1));
    harness.SetBackends(8);  // all of them in each proxy's subset
    for (const int round : {0, 1}) {
      if (round == 1)
        harness.UpdateEndpoints({MakeEndpoint(3, 0, 0, EndpointState::kRemoved)},
                                EndpointUpdateKind::kIncremental);
      for (std::uint64_t key = 1; key <= 12; ++key) {
        harness.AdvanceTime(5000);  // what the proxy itself remembers of keys has expired
        const RequestId id = next_request_id++;
        const auto s = harness.SubmitRequest(id, 2, 10, 400, key);
        ASSERT_TRUE(s.has_value());
        used[round][key].insert(*s);
        harness.CompleteAttempt(id, 0, *s, AttemptOutcome::kSuccess);
      }
    }
  }
  std::set<BackendId> all;
  for (const auto& [key, backends] : used[0]) {
    EXPECT_LE(backends.size(), 4u) << key;
    all.insert(backends.begin(), backends.end());
    for (const BackendId s : backends)
      EXPECT_TRUE(s == 3 || used[1][key].contains(s)) << "moved without need";
    EXPECT_LE(used[1][key].size(), 4u) << key;
  }
  EXPECT_EQ(all.size(), 8u) << "keys are spread over all backends";
}

TEST(KeyAffinity, PrefersBackendThatServedTheKeyUnlessFarBusier) {
  Settings settings = DefaultSettings();
  settings.key_affinity = true;
  BalancerHarness harness(settings);
  harness.SetBackends(4);
  auto ask = [&](std::uint64_t key, double work = 10) {
    return *harness.SubmitRequest(next_request_id++, 0, work, 5000, key);
  };
  const BackendId home = ask(7);
  EXPECT_EQ(ask(7), home) << "10 in flight there, but the key saves its work";
  EXPECT_NE(ask(8), home) << "another key";
  EXPECT_NE(ask(0), home) << "no key";
  EXPECT_NE(ask(7, 1), home) << "20 in flight there weigh more than so small a saving";

  BalancerHarness forgets(settings);
  forgets.SetBackends(4);
  std::set<BackendId> later;
  for (int i = 0; i < 20; ++i) {
    const RequestId id = next_request_id++;
    later.insert(*forgets.SubmitRequest(id, 0, 10, 5000, 9));
    forgets.CompleteAttempt(id, 0, forgets.attempts.back().backend, AttemptOutcome::kSuccess);
    forgets.AdvanceTime(4001);
  }
  EXPECT_GT(later.size(), 1u) << "expired";

  settings.key_affinity = false;
  BalancerHarness none(settings);
  none.SetBackends(2);
  const auto first = none.SubmitRequest(next_request_id++, 0, 10, 5000, 7);
  EXPECT_NE(none.SubmitRequest(next_request_id++, 0, 10, 5000, 7), first);
}

// The same keys at the same backends, then a pause in which they expire.
TEST(KeyAffinity, RemembersAKeyAgainAfterItExpired) {
  Settings settings = DefaultSettings();
  settings.key_affinity = true;
  BalancerHarness harness(settings);
  harness.SetBackends(2);
  for (int round = 0; round < 4; ++round) {
    for (int i = 0; i < 6; ++i) {
      const RequestId id = next_request_id++;
      const auto s = harness.SubmitRequest(id, 1, 10, 1000, 1 + i % 3);
      ASSERT_TRUE(s.has_value());
      harness.CompleteAttempt(id, 0, *s, AttemptOutcome::kSuccess);
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
