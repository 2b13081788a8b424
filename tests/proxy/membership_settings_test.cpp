// SPDX-License-Identifier: Apache-2.0
//
// The files that `[fleet]` names, and the errors for files that cannot be used.
#include <gtest/gtest.h>
#include <sys/stat.h>

#include <string>
#include <vector>

#include "proxy/config/config_error.h"
#include "proxy/membership/settings_loader.h"
#include "support/temporary_file.h"

namespace copperpoint::testing {
namespace {

using proxy::ConfigError;
using proxy::FleetSettings;

constexpr char kKey[] = "0123456789abcdef0123456789abcdef\n";

template <typename Load>
ConfigError ErrorOf(const Load& load) {
  try {
    load();
  } catch (const ConfigError& error) {
    return error;
  }
  ADD_FAILURE() << "accepted";
  return {ConfigError::Kind::kInvalid, {}, ""};
}

FleetSettings Settings(const std::string& listen = "127.0.0.1:7000") {
  FleetSettings settings;
  settings.cluster = std::string(1, 'c');
  settings.listen = listen;
  return settings;
}

TEST(MembershipSettings, RejectsAKeyFileThatOtherUsersCanRead) {
  const TemporaryFile file(kKey);
  FleetSettings settings = Settings();
  settings.key_file = file.path();
  EXPECT_NO_THROW(proxy::LoadFrameCodec(settings));
  ASSERT_EQ(::chmod(file.path().c_str(), 0640), 0);
  const ConfigError error = ErrorOf([&] { proxy::LoadFrameCodec(settings); });
  EXPECT_EQ(error.location().file, file.path());
  EXPECT_EQ(error.location().key, "fleet.key_file");
  EXPECT_EQ(
      error.what(),
      file.path() + ": fleet.key_file: mode must be 0600, so that other users have no access, but is 0640");
}

TEST(MembershipSettings, ErrorNamesAKeyFileThatCannotBeUsed) {
  FleetSettings settings = Settings();
  settings.key_file = std::string("/nowhere/at/all");
  const ConfigError absent = ErrorOf([&] { proxy::LoadFrameCodec(settings); });
  EXPECT_EQ(absent.kind(), ConfigError::Kind::kUnreadableFile);
  EXPECT_STREQ(absent.what(), "/nowhere/at/all: fleet.key_file cannot be read");
  const TemporaryFile file("short\n");
  settings.key_file = file.path();
  const ConfigError too_short = ErrorOf([&] { proxy::LoadFrameCodec(settings); });
  EXPECT_EQ(std::string(too_short.what()).find(file.path() + ": fleet.key_file: "), 0u) << too_short.what();
}

TEST(MembershipSettings, AppendsTheSeedsOfTheFile) {
  const TemporaryFile file("# members\n127.0.0.1:1\n\n[::1]:2");
  FleetSettings settings = Settings();
  settings.seeds.emplace_back("127.0.0.1:9");
  EXPECT_EQ(proxy::LoadSeeds(settings), settings.seeds);
  settings.seeds_file = file.path();
  EXPECT_EQ(proxy::LoadSeeds(settings), (std::vector<std::string>{"127.0.0.1:9", "127.0.0.1:1", "[::1]:2"}));
}

TEST(MembershipSettings, ErrorNamesTheLineOfAMalformedSeed) {
  const TemporaryFile file("127.0.0.1:1\n\nhere\n");
  FleetSettings settings = Settings();
  settings.seeds_file = file.path();
  const ConfigError error = ErrorOf([&] { proxy::LoadSeeds(settings); });
  EXPECT_EQ(error.location().line, 3);
  EXPECT_EQ(error.location().key, "fleet.seeds_file");
  EXPECT_EQ(error.what(), file.path() + ":3: must be ADDRESS:PORT, but is 'here'");
}

TEST(MembershipSettings, ListenAddressNeedsAPort) {
  EXPECT_EQ(proxy::ParseListenAddress(Settings()).port(), 7000);
  const ConfigError error = ErrorOf([] { proxy::ParseListenAddress(Settings("127.0.0.1:0")); });
  EXPECT_EQ(error.location().key, "fleet.listen");
  EXPECT_STREQ(error.what(), "fleet.listen: must be ADDRESS:PORT with a port over 0, but is '127.0.0.1:0'");
}

}  // namespace
}  // namespace copperpoint::testing
