// SPDX-License-Identifier: Apache-2.0
//
// The log lines of the decision module: their number is limited, and they name the backend and the reason.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "support/balancer_fixture.h"

namespace copperpoint::testing {
namespace {

TEST(DecisionLog, LimitsLinesAndNamesBackendAndReason) {
  BalancerHarness harness;
  std::vector<std::string> lines;
  auto note = [&] {
    for (const Action& a : harness.actions)
      if (const auto* log = std::get_if<Log>(&a)) lines.push_back(log->text);
  };
  for (int i = 0; i < 5; ++i) {
    harness.SubmitRequest(next_request_id++, 0, 10, -50);  // with a deadline in the past
    note();
  }
  ASSERT_EQ(lines.size(), 1u) << "further rejections within ten seconds are not logged";
  EXPECT_NE(lines[0].find("rejected: no attempt was started; 0 in flight, 0 queued"), std::string::npos)
      << lines[0];
  harness.AdvanceTime(20000);
  harness.AdvanceTime(20000);
  harness.UpdateEndpoints({MakeEndpoint(1, 0, 0, EndpointState::kReady, harness.now)});
  for (int i = 0; i < 30; ++i) {
    harness.SubmitRequest(next_request_id++);
    note();
  }
  ASSERT_EQ(lines.size(), 2u);
  EXPECT_NE(lines[1].find("backend 1 passed over: in slow start, at 25%"), std::string::npos) << lines[1];
}

}  // namespace
}  // namespace copperpoint::testing
