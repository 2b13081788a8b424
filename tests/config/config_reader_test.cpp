// SPDX-License-Identifier: Apache-2.0
//
// Reading of the platform's JSON configuration: defaults, environment variables, and errors that name the
// file, the position and the key.
#include "proxy/config/config_reader.h"

#include <gtest/gtest.h>

#include <fstream>
#include <string>

#include "config/platform_config.h"
#include "support/temporary_file.h"

namespace copperpoint::testing {
namespace {

using proxy::Config;
using proxy::ConfigError;
using Kind = ConfigError::Kind;

TEST(ConfigReader, ReadsAValidConfiguration) {
  const Config config = Parse(ValidConfig().dump());
  EXPECT_EQ(config.name, "n1");
  EXPECT_EQ(config.listen, *proxy::ParseHostPort("127.0.0.1:80"));
  EXPECT_EQ(config.discovery, *proxy::ParseHostPort("127.0.0.1:81"));
  EXPECT_FALSE(config.admin_address);
  EXPECT_EQ(config.state_directory, "");
  EXPECT_EQ(config.seed, 0x8c1f30d27a5be964u);
  EXPECT_EQ(config.sockets, 1024);
  EXPECT_EQ(config.memory_mb, 192);
  EXPECT_EQ(config.initial_endpoints.revision, 41u);
  ASSERT_EQ(config.initial_endpoints.endpoints.size(), 1u);
  EXPECT_EQ(config.initial_endpoints.endpoints[0].id, "s-1");
}

TEST(ConfigReader, AbsentOptionalKeysHaveTheirDefaults) {
  auto json = ValidConfig();
  for (const char* key : {"name", "limits", "known"}) json.erase(key);
  json["seed"] = 7;
  const Config config = Parse(json.dump());
  EXPECT_EQ(config.name, "");
  EXPECT_EQ(config.sockets, 1024);
  EXPECT_EQ(config.memory_mb, 2048);
  EXPECT_EQ(config.seed, 7u);
  EXPECT_TRUE(config.initial_endpoints.endpoints.empty());
  EXPECT_TRUE(Parse(With("/known", nullptr)).initial_endpoints.endpoints.empty());
}

TEST(ConfigReader, UnknownKeysAreIgnored) {
  EXPECT_EQ(Parse(With("/later", {{"x", 1}})).name, "n1");
  EXPECT_EQ(Parse(With("/limits/later", "x")).sockets, 1024);
}

TEST(ConfigReader, EnvironmentOverridesTheFile) {
  const Config config = Parse(ValidConfig().dump(), {{"ROUTER_NAME", "n2"},
                                                     {"ROUTER_LISTEN", "[::1]:90"},
                                                     {"ROUTER_DISCOVERY", "127.0.0.1:91"},
                                                     {"ROUTER_OPERATOR", "127.0.0.1:92"},
                                                     {"TMPDIR", "/state"}});
  EXPECT_EQ(config.name, "n2");
  EXPECT_EQ(config.listen, *proxy::ParseHostPort("[::1]:90"));
  EXPECT_EQ(config.discovery, *proxy::ParseHostPort("127.0.0.1:91"));
  EXPECT_EQ(config.admin_address, proxy::ParseHostPort("127.0.0.1:92"));
  EXPECT_EQ(config.state_directory, "/state");
  EXPECT_EQ(Parse(ValidConfig().dump(), {{"ROUTER_NAME", ""}}).name, "n1");
}

TEST(ConfigReader, NamesMissingKeys) {
  ExpectError(Without("", "seed"), Kind::kMissing, "seed",
              "seed is missing; it must be an unsigned integer or a hexadecimal string");
  ExpectError(Without("", "listen"), Kind::kInvalid, "listen", "listen: must be ADDRESS:PORT, but is ''");
  ExpectError(Without("", "settings"), Kind::kMissing, "settings",
              "[json.exception.out_of_range.403] key 'settings' not found");
}

TEST(ConfigReader, NamesValuesOfAWrongType) {
  ExpectError(With("/name", 5), Kind::kWrongType, "name", "name: type must be string, but is number");
  ExpectError(With("/discovery", 5), Kind::kWrongType, "discovery",
              "discovery: type must be string, but is number");
  ExpectError(With("/limits", 5), Kind::kWrongType, "limits", "limits: type must be object, but is number");
  ExpectError(With("/limits/sockets", "many"), Kind::kWrongType, "limits.sockets",
              "limits.sockets: type must be number, but is string");
  ExpectError(With("/limits/memory_mb", nullptr), Kind::kWrongType, "limits.memory_mb",
              "limits.memory_mb: type must be number, but is null");
  ExpectError("[1]", Kind::kWrongType, "", "the configuration must be a JSON object, but is array");
}

TEST(ConfigReader, NamesValuesThatCannotBeUsed) {
  ExpectError(With("/listen", "here"), Kind::kInvalid, "listen",
              "listen: must be ADDRESS:PORT, but is 'here'");
  ExpectError(With("/operator", "there"), Kind::kInvalid, "operator",
              "operator: must be ADDRESS:PORT, but is 'there'");
  ExpectError(With("/seed", "xyz"), Kind::kInvalid, "seed",
              "seed: must be an unsigned integer or a hexadecimal string of at most 64 bits, but is \"xyz\"");
  ExpectError(With("/seed", -1), Kind::kInvalid, "seed",
              "seed: must be an unsigned integer or a hexadecimal string of at most 64 bits, but is -1");
  ExpectError(With("/limits/sockets", 63), Kind::kOutOfRange, "limits.sockets",
              "limits.sockets: must be at least 64, but is 63");
  ExpectError(With("/limits/memory_mb", 7.9), Kind::kOutOfRange, "limits.memory_mb",
              "limits.memory_mb: must be at least 8.0, but is 7.9");
  ExpectError(With("/known/members/0/phase", "odd"), Kind::kInvalid, "known.members.0.phase",
              "known.members.0.phase: invalid endpoint list: an entry has an unknown phase");
  ExpectError(With("/known", 7), Kind::kInvalid, "known",
              "known: invalid endpoint list: [json.exception.type_error.304] cannot use at() with number");
}

TEST(ConfigReader, NamesLineAndColumnOfInvalidJson) {
  const ConfigError error = ErrorOf("{\n  \"name\": ,\n}");
  EXPECT_EQ(error.kind(), Kind::kSyntax);
  EXPECT_EQ(error.location().line, 2);
  EXPECT_EQ(error.location().column, 11);
  EXPECT_STREQ(error.what(), "2:11: the configuration is not valid JSON");
  EXPECT_EQ(ErrorOf("").kind(), Kind::kSyntax);
  EXPECT_EQ(ErrorOf("{\"seed\": 1e999}").kind(), Kind::kOutOfRange);
}

class ConfigFileTest : public ::testing::Test {
 protected:
  static std::string LoadError(const Variables& variables) {
    try {
      proxy::LoadConfig(EnvironmentOf(variables));
    } catch (const ConfigError& error) {
      return error.what();
    }
    return "";
  }
};

TEST_F(ConfigFileTest, ErrorsNameTheFile) {
  EXPECT_EQ(LoadError({}), "ROUTER_CONFIG is not set; it must name the configuration file");
  EXPECT_EQ(LoadError({{"ROUTER_CONFIG", "/nowhere/at/all"}}), "cannot read ROUTER_CONFIG: /nowhere/at/all");
  const TemporaryFile broken("{\n  \"name\": ,\n}");
  EXPECT_EQ(LoadError({{"ROUTER_CONFIG", broken.path()}}),
            broken.path() + ": 2:11: the configuration is not valid JSON");
  const TemporaryFile bad(With("/listen", "here"));
  EXPECT_EQ(LoadError({{"ROUTER_CONFIG", bad.path()}}),
            bad.path() + ": listen: must be ADDRESS:PORT, but is 'here'");
  try {
    proxy::LoadConfig(EnvironmentOf({{"ROUTER_CONFIG", bad.path()}}));
    FAIL();
  } catch (const ConfigError& error) {
    EXPECT_EQ(error.location().file, bad.path());
    EXPECT_EQ(error.location().key, "listen");
  }
}

TEST_F(ConfigFileTest, ReloadIgnoresTheEnvironmentsValues) {
  const TemporaryFile file(ValidConfig().dump());
  const Variables variables{{"ROUTER_CONFIG", file.path()}, {"ROUTER_NAME", "n2"}};
  EXPECT_EQ(proxy::LoadConfig(EnvironmentOf(variables)).name, "n2");
  EXPECT_EQ(proxy::ReloadConfig(EnvironmentOf(variables)).name, "n1");
}

// A location has a column in errors of JSON files and none in errors of seed lists.
TEST(ConfigErrors, PutTheLocationBeforeTheMessage) {
  const auto text = [](proxy::ConfigLocation location) {
    return std::string(ConfigError(Kind::kInvalid, std::move(location), "wrong").what());
  };
  EXPECT_EQ(text({}), "wrong");
  EXPECT_EQ(text({.file = "f", .key = "k"}), "f: wrong");
  EXPECT_EQ(text({.file = "f", .line = 3}), "f:3: wrong");
  EXPECT_EQ(text({.file = "f", .line = 3, .column = 4}), "f: 3:4: wrong");
  EXPECT_EQ(text({.line = 3, .column = 4}), "3:4: wrong");
}

}  // namespace
}  // namespace copperpoint::testing
