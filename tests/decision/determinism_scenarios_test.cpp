// SPDX-License-Identifier: Apache-2.0
//
// The same events have the same actions.
#include <gtest/gtest.h>

#include <cstddef>

#include "support/balancer_fixture.h"

namespace copperpoint::testing {
namespace {

TEST(Determinism, SameEventsSameActions) {
  Rig a(Usual(), 7), b(Usual(), 7);
  for (Rig* rig : {&a, &b}) {
    rig->Servers(5);
    for (RequestId id = 1; id <= 200; ++id) {
      const auto s = rig->Ask(id, static_cast<int>(id % 3));
      rig->Tick(3);
      if (s && id % 4) rig->End(id, 0, *s, id % 5 ? AttemptOutcome::kSuccess : AttemptOutcome::kServerError);
    }
  }
  ASSERT_EQ(a.sent.size(), b.sent.size());
  for (std::size_t i = 0; i < a.sent.size(); ++i) EXPECT_EQ(a.sent[i].backend, b.sent[i].backend);
}

}  // namespace
}  // namespace copperpoint::testing
