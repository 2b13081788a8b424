// SPDX-License-Identifier: Apache-2.0
//
// Reading of the `settings` object of the platform's configuration: defaults, and errors that name the key.
#include "proxy/config/settings_reader.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "config/platform_config.h"

namespace copperpoint::testing {
namespace {

using proxy::Config;
using proxy::ConfigError;
using Kind = ConfigError::Kind;

TEST(SettingsReader, ReadsSettingsNamesAndTimeouts) {
  const Config config = Parse(ValidConfig().dump());
  EXPECT_EQ(config.settings.proxy_count, 2);
  EXPECT_EQ(config.settings.proxy_index, 1);
  ASSERT_EQ(config.settings.classes.size(), 1u);
  EXPECT_EQ(config.settings.classes[0].idempotency, Idempotency::kIdempotent);
  EXPECT_EQ(config.settings.classes[0].latency_objective, Duration(100));
  ASSERT_EQ(config.settings.tenants.size(), 1u);
  EXPECT_EQ(config.settings.tenants[0].quota_per_s, 5);
  EXPECT_EQ(config.settings.slow_start_min_capacity, 0.2);
  EXPECT_EQ(config.classes, std::vector<std::string>{"look"});
  EXPECT_EQ(config.tenants, std::vector<std::string>{"t"});
  EXPECT_EQ(config.zones, (std::vector<std::string>{"a", "b_c"}));  // as on the simulator's wire
  EXPECT_EQ(config.kinds, std::vector<std::string>{"m"});
  EXPECT_EQ(config.connect_timeout, Duration(200));
  EXPECT_EQ(config.backend_idle_timeout, Duration(60000));
  EXPECT_EQ(config.settings.max_retry_after, Duration(30)) << "the value of retryAfter is not used";
}

TEST(SettingsReader, AbsentOptionalKeysHaveTheirDefaults) {
  auto json = ValidConfig();
  for (const char* key : {"zones", "kinds", "tenants", "me"}) json["settings"].erase(key);
  for (const char* key : {"connIdleMs", "connectTimeoutMs", "maxRetryAfterMs"})
    json["settings"]["permissions"].erase(key);
  const Config config = Parse(json.dump());
  EXPECT_TRUE(config.zones.empty());
  EXPECT_TRUE(config.tenants.empty());
  EXPECT_EQ(config.settings.proxy_index, 0);
  EXPECT_EQ(config.connect_timeout, Duration(250));
  EXPECT_EQ(config.backend_idle_timeout, Duration(15000));
  EXPECT_EQ(config.settings.max_retry_after, Duration(0));
}

TEST(SettingsReader, UnknownKeysAreIgnored) {
  EXPECT_EQ(Parse(With("/settings/something new", {1, 2, 3})).settings.proxy_count, 2);
  EXPECT_EQ(Parse(With("/settings/classes/0/later", nullptr)).settings.proxy_count, 2);
}

TEST(SettingsReader, NamesMissingKeys) {
  ExpectError(Without("/settings", "balancers"), Kind::kMissing, "settings.balancers",
              "setting absent: balancers");
  ExpectError(Without("/settings/classes/0", "deadlineMs"), Kind::kMissing, "settings.classes.0.deadlineMs",
              "setting absent: classes.0.deadlineMs");
  ExpectError(With("/settings", nullptr), Kind::kMissing, "settings.balancers", "setting absent: balancers");
}

TEST(SettingsReader, NamesValuesOfAWrongType) {
  ExpectError(With("/settings/balancers", "many"), Kind::kWrongType, "settings.balancers",
              "setting not a number: balancers");
  ExpectError(With("/settings/balancers", 1.5), Kind::kWrongType, "settings.balancers",
              "setting not a whole number: balancers");
  ExpectError(With("/settings/classes/0/name", 5), Kind::kWrongType, "settings.classes.0.name",
              "settings.classes.0.name: type must be string, but is number");
  ExpectError(With("/settings/permissions/connIdleMs", "x"), Kind::kWrongType,
              "settings.permissions.connIdleMs",
              "settings.permissions.connIdleMs: type must be number, but is string");
}

TEST(SettingsReader, NamesValuesThatCannotBeUsed) {
  ExpectError(With("/settings/balancers", 0), Kind::kOutOfRange, "settings.balancers",
              "setting out of range: balancers");
  ExpectError(With("/settings/classes/0/effect", "odd"), Kind::kInvalid, "settings.classes.0.effect",
              "setting of unknown meaning: classes.0.effect");
  const std::string path = "settings.permissions.";
  ExpectError(With("/settings/permissions/connIdleMs", -1), Kind::kOutOfRange,
              "settings.permissions.connIdleMs", path + "connIdleMs: must be over 0, but is -1.0");
  ExpectError(With("/settings/permissions/connectTimeoutMs", 0), Kind::kOutOfRange,
              "settings.permissions.connectTimeoutMs", path + "connectTimeoutMs: must be over 0, but is 0.0");
}

}  // namespace
}  // namespace copperpoint::testing
