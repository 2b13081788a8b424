// SPDX-License-Identifier: Apache-2.0
//
// How the settings of the simulator are read, and the errors for absent keys and invalid values.
#include "adapter/settings.h"

#include <gtest/gtest.h>

#include <string>

#include "support/sample_settings.h"

namespace copperpoint::adapter {
namespace {

using copperpoint::testing::kSampleSettings;

std::string Without(const std::string& key) {
  std::string text(kSampleSettings);
  const std::size_t at = text.find("\n" + key + "=");
  EXPECT_NE(at, std::string::npos) << key;
  return text.erase(at, text.find('\n', at + 1) - at);
}
std::string With(const std::string& key, const std::string& value) {
  return Without(key) + key + "=" + value + "\n";
}

std::string ErrorOf(const std::string& text) {
  try {
    ParseSettings(text);
  } catch (const BadSettings& error) {
    return error.what();
  }
  return "";
}

TEST(SettingsParser, ReadsEveryKeyThatTheProgramNeeds) {
  const Settings s = ParseSettings(kSampleSettings);
  EXPECT_EQ(s.proxy_count, 2);
  ASSERT_EQ(s.classes.size(), 2u);
  EXPECT_EQ(s.classes[0].idempotency, Idempotency::kIdempotent);
  EXPECT_EQ(s.classes[1].idempotency, Idempotency::kIdempotencyKey);
  EXPECT_EQ(s.classes[1].deduplication_scope, DeduplicationScope::kCell);
  EXPECT_EQ(s.classes[1].deduplication_window.count(), 750);
  EXPECT_EQ(s.classes[1].priority_weight, 10);
  ASSERT_EQ(s.tenants.size(), 1u);
  EXPECT_EQ(s.tenants[0].quota_per_s, 57);
  EXPECT_EQ(s.max_attempts, 4);
  EXPECT_TRUE(s.polls_endpoints);
  EXPECT_EQ(s.max_poll_interval.count(), 10000);
  EXPECT_EQ(s.slow_start_min_capacity, 0.35);
  EXPECT_TRUE(s.key_affinity);
  EXPECT_EQ(s.max_retry_after.count(), 600);
}

TEST(SettingsParser, ProxyIndexIsReadAndMayNotBeNegative) {
  EXPECT_EQ(ParseSettings(std::string(kSampleSettings) + "me=17\n").proxy_index, 17);
  EXPECT_EQ(ErrorOf(std::string(kSampleSettings) + "me=-1\n"), "setting out of range: me");
}

TEST(SettingsParser, UnknownKeysAndLinesWithoutAnEqualsSignAreIgnored) {
  EXPECT_EQ(ErrorOf(std::string(kSampleSettings) + "newKey=7\nno equals sign\n\n"), "");
}

TEST(SettingsParser, AbsentOptionalKeysHaveDefaults) {
  const Settings s = ParseSettings(Without("tenants.count"));
  EXPECT_TRUE(s.tenants.empty());
  EXPECT_FALSE(ParseSettings(Without("registryMode")).polls_endpoints);
  EXPECT_EQ(ParseSettings(Without("overShareWorth")).over_quota_weight, 1);
  EXPECT_EQ(ParseSettings(Without("permissions.retryAfter")).max_retry_after.count(), 0);
  EXPECT_FALSE(ParseSettings(Without("specifics.warmKeys")).key_affinity);
}

TEST(SettingsParser, ErrorNamesTheAbsentKey) {
  for (const char* key :
       {"classes.count", "classes.0.effect", "classes.0.goalTimeMs", "classes.0.deadlineMs",
        "classes.1.group", "classes.1.windowMs", "permissions.maxAttempts", "rules.coldFrom",
        "rules.warmUpMs", "rules.fallMultiple", "rules.overloadForMs", "rules.mustAskInMs", "zone"})
    EXPECT_NE(ErrorOf(Without(key)).find(key), std::string::npos) << key;
}

TEST(SettingsParser, ErrorNamesTheKeyOfAnInvalidValue) {
  const std::pair<const char*, const char*> invalid[] = {
      {"classes.count", "0"},           {"classes.count", "two"},
      {"classes.0.effect", "odd"},      {"classes.0.goalTimeMs", "-1"},
      {"rules.coldFrom", "1.5"},        {"rules.coldFrom", "nan"},
      {"rules.fallMultiple", "inf"},    {"rules.warmUpMs", "-5"},
      {"permissions.maxAttempts", "0"}, {"permissions.maxAttempts", "2.5"},
      {"registryMode", "pull"},         {"tenants.0.quotaPerS", "-3"},
      {"classes.1.lateWorth", "1e9"},   {"overShareWorth", "0.5x"}};
  for (const auto& [key, value] : invalid)
    EXPECT_NE(ErrorOf(With(key, value)).find(key), std::string::npos) << key << "=" << value;
}

}  // namespace
}  // namespace copperpoint::adapter
