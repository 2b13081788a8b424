// SPDX-License-Identifier: Apache-2.0
//
// The form of log lines, and the rate limit that a storm of lines must not exceed.
#include "log/log.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace copperpoint::log {
namespace {

using std::chrono::milliseconds;
using std::chrono::system_clock;

class LoggerTest : public testing::Test {
 protected:
  std::vector<std::string> lines_;
  system_clock::time_point now_{milliseconds(1700000000123)};
};

TEST_F(LoggerTest, TextHasTimeLevelEventAndFields) {
  Logger logger(
      Settings{}, [this](const std::string& line) { lines_.push_back(line); }, [this] { return now_; });
  logger.Info("backend_disabled", {{"backend", "s-1"}, {"count", 3}, {"share", 0.5}, {"on", true}});
  EXPECT_EQ(lines_,
            (std::vector<std::string>{"2023-11-14T22:13:20.123Z info backend_disabled backend=s-1 count=3 "
                                      "share=0.5 on=true"}));
}

TEST_F(LoggerTest, TextWithSeparatorsOrLineEndsIsQuotedAndStaysOnItsLine) {
  Logger logger(
      Settings{}, [this](const std::string& line) { lines_.push_back(line); }, [this] { return now_; });
  logger.Warn("odd", {{"a", "two words"}, {"b", "x=y"}, {"c", "line\nend"}, {"d", ""}, {"e", "\xff\""}});
  ASSERT_EQ(lines_.size(), 1u);
  EXPECT_EQ(lines_[0].substr(25), R"(warn odd a="two words" b="x=y" c="line\nend" d="" e="\ufffd\"")");
}

TEST_F(LoggerTest, JsonKeepsTheTypes) {
  Settings settings;
  settings.format = Format::kJson;
  Logger logger(
      settings, [this](const std::string& line) { lines_.push_back(line); }, [this] { return now_; });
  logger.Error("failed", {{"reason", "a \"b\"\n"}, {"count", -2}, {"share", 0.25}, {"on", false}});
  const auto json = nlohmann::json::parse(lines_.at(0));
  EXPECT_EQ(json, (nlohmann::json{{"time", "2023-11-14T22:13:20.123Z"},
                                  {"level", "error"},
                                  {"event", "failed"},
                                  {"reason", "a \"b\"\n"},
                                  {"count", -2},
                                  {"share", 0.25},
                                  {"on", false}}));
}

TEST_F(LoggerTest, LinesBelowTheLevelAreNotWritten) {
  Settings settings;
  settings.level = Level::kWarn;
  Logger logger(
      settings, [this](const std::string& line) { lines_.push_back(line); }, [this] { return now_; });
  logger.Debug("a");
  logger.Info("b");
  EXPECT_FALSE(logger.Enabled(Level::kInfo));
  logger.Warn("c");
  EXPECT_EQ(lines_.size(), 1u);
  settings.level = Level::kOff;
  logger.Set(settings);
  logger.Error("d");
  EXPECT_EQ(lines_.size(), 1u);
}

TEST_F(LoggerTest, AStormIsLimitedAndItsDroppedLinesAreCounted) {
  Settings settings;
  settings.lines_per_s = 10;
  Logger logger(
      settings, [this](const std::string& line) { lines_.push_back(line); }, [this] { return now_; });
  for (int i = 0; i < 1000; ++i) logger.Info("storm", {{"i", i}});
  EXPECT_EQ(lines_.size(), 10u);
  logger.Error("worse");  // errors are never dropped
  ASSERT_EQ(lines_.size(), 12u);
  EXPECT_NE(lines_[10].find("log_lines_dropped count=990"), std::string::npos) << lines_[10];
  EXPECT_NE(lines_[11].find("error worse"), std::string::npos);
  now_ += milliseconds(500);
  for (int i = 0; i < 1000; ++i) logger.Info("storm", {{"i", i}});
  EXPECT_EQ(lines_.size(), 17u) << "half a second allows half of lines_per_s";
}

TEST_F(LoggerTest, AClockThatSteppedBackAddsNoTokensAndTheLoggerRecovers) {
  Settings settings;
  settings.lines_per_s = 2;
  Logger logger(
      settings, [this](const std::string& line) { lines_.push_back(line); }, [this] { return now_; });
  for (int i = 0; i < 5; ++i) logger.Info("a");
  now_ -= std::chrono::hours(5);
  logger.Info("b");
  EXPECT_EQ(lines_.size(), 2u);
  now_ += milliseconds(1000);
  logger.Info("c");
  EXPECT_EQ(lines_.size(), 4u) << "the count of dropped lines, and c";
}

}  // namespace
}  // namespace copperpoint::log
