// SPDX-License-Identifier: Apache-2.0
//
// The states of a proxy from its start to its stop.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "proxy/control/lifecycle.h"
#include "support/log_lines.h"

namespace copperpoint::testing {
namespace {

using proxy::Lifecycle;

TEST(Lifecycle, IsReadyOnlyBetweenItsStartAndItsStopAndNotWhileDrained) {
  Lines notes;
  Lifecycle lifecycle(notes.log);
  EXPECT_FALSE(lifecycle.Ready());
  lifecycle.Started();
  EXPECT_TRUE(lifecycle.Ready());
  EXPECT_TRUE(lifecycle.Drain());
  EXPECT_TRUE(lifecycle.Drain());
  lifecycle.Started();
  EXPECT_FALSE(lifecycle.Ready());
  EXPECT_TRUE(lifecycle.Undrain());
  EXPECT_TRUE(lifecycle.Ready());
  lifecycle.Stop();
  EXPECT_FALSE(lifecycle.Ready());
  EXPECT_FALSE(lifecycle.Undrain());
  EXPECT_EQ(lifecycle.state(), Lifecycle::State::kStopping);
  EXPECT_EQ(notes.lines,
            (std::vector<std::string>{
                "info state_changed from=starting to=ready", "info state_changed from=ready to=drained",
                "info state_changed from=drained to=ready", "info state_changed from=ready to=stopping"}));
}

}  // namespace
}  // namespace copperpoint::testing
