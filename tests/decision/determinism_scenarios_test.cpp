// SPDX-License-Identifier: Apache-2.0
//
// Equal settings, seeds and events must lead to equal actions. Guards against decisions that depend on
// anything else.
#include <gtest/gtest.h>

#include <cstddef>

#include "support/balancer_fixture.h"

namespace copperpoint::testing {
namespace {

TEST(Determinism, SameEventsProduceSameActions) {
  BalancerHarness a(DefaultSettings(), 7), b(DefaultSettings(), 7);
  for (BalancerHarness* harness : {&a, &b}) {
    harness->SetBackends(5);
    for (RequestId id = 1; id <= 200; ++id) {
      const auto backend = harness->SubmitRequest(id, static_cast<int>(id % 3));
      harness->AdvanceTime(3);
      if (backend && id % 4)
        harness->CompleteAttempt(id, 0, *backend,
                                 id % 5 ? AttemptOutcome::kSuccess : AttemptOutcome::kServerError);
    }
  }
  ASSERT_EQ(a.attempts.size(), b.attempts.size());
  for (std::size_t i = 0; i < a.attempts.size(); ++i) EXPECT_EQ(a.attempts[i].backend, b.attempts[i].backend);
}

}  // namespace
}  // namespace copperpoint::testing
