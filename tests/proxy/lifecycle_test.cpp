// SPDX-License-Identifier: Apache-2.0
#include "proxy/lifecycle/lifecycle.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "log/log.h"

namespace copperpoint::testing {
namespace {

using proxy::Lifecycle;
using State = Lifecycle::State;

class LifecycleTest : public ::testing::Test {
 protected:
  std::vector<std::string> lines_;  // of the log, without the time stamps
  log::Logger log_{log::Settings{},
                   [this](const std::string& line) { lines_.push_back(line.substr(line.find(' ') + 1)); },
                   [] { return std::chrono::system_clock::now(); }};
  Lifecycle lifecycle_{log_};
};

TEST_F(LifecycleTest, IsReadyOnlyBetweenStartAndShutdownAndNotWhileDraining) {
  EXPECT_FALSE(lifecycle_.ready());
  lifecycle_.OnStarted();
  EXPECT_TRUE(lifecycle_.ready());
  EXPECT_TRUE(lifecycle_.StartDraining());
  EXPECT_TRUE(lifecycle_.StartDraining());
  lifecycle_.OnStarted();
  EXPECT_FALSE(lifecycle_.ready());
  EXPECT_TRUE(lifecycle_.StopDraining());
  EXPECT_TRUE(lifecycle_.ready());
  lifecycle_.StartShutdown();
  EXPECT_FALSE(lifecycle_.ready());
  EXPECT_FALSE(lifecycle_.StopDraining());
  EXPECT_EQ(lifecycle_.state(), State::kShuttingDown);
  EXPECT_EQ(lines_,
            (std::vector<std::string>{
                "info state_changed from=starting to=ready", "info state_changed from=ready to=drained",
                "info state_changed from=drained to=ready", "info state_changed from=ready to=stopping"}));
}

TEST_F(LifecycleTest, ReturnsToStartingWhenDrainingStopsBeforeItHasStarted) {
  lifecycle_.StartDraining();
  EXPECT_EQ(lifecycle_.state(), State::kDrainingNotStarted);
  EXPECT_TRUE(lifecycle_.draining());
  lifecycle_.StopDraining();
  EXPECT_EQ(lifecycle_.state(), State::kStarting);
}

TEST_F(LifecycleTest, LogsOneDrainedStateWhenItStartsWhileDraining) {
  lifecycle_.StartDraining();
  lifecycle_.OnStarted();
  EXPECT_EQ(lifecycle_.state(), State::kDraining);
  EXPECT_TRUE(lifecycle_.draining());
  lifecycle_.StopDraining();
  EXPECT_EQ(lines_, (std::vector<std::string>{"info state_changed from=starting to=drained",
                                              "info state_changed from=drained to=ready"}));
}

TEST_F(LifecycleTest, IgnoresEveryEventOnceShutDown) {
  lifecycle_.StartShutdown();
  lifecycle_.StartShutdown();
  lifecycle_.OnStarted();
  EXPECT_FALSE(lifecycle_.StartDraining());
  EXPECT_TRUE(lifecycle_.shutting_down());
  EXPECT_FALSE(lifecycle_.draining());
  EXPECT_EQ(lines_, (std::vector<std::string>{"info state_changed from=starting to=stopping"}));
}

}  // namespace
}  // namespace copperpoint::testing
