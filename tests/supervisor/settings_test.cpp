// SPDX-License-Identifier: Apache-2.0
#include "supervisor/settings.h"

#include <gtest/gtest.h>

#include <string>

#include "config/read.h"
#include "support/run_program.h"

namespace copperpoint::supervisor {
namespace {

TEST(SupervisorSettings, EachKeyIsReadIntoItsField) {
  const auto settings = config::LoadText<Settings>(
      "first = \"v1\"\noperators = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\nready_ms = 101\nheard_ms = 102\n"
      "first_wait_ms = 103\nlongest_wait_ms = 104\nsteady_ms = 105\nmost_ends = 6\nmost_ends_of_new = 7\n"
      "json_log = true\n[[version]]\nname = \"v1\"\nprogram = \"/p\"\nsettings = \"/s\"\ndigest = \"d\"\n",
      "f.toml");
  EXPECT_EQ(settings.first, "v1");
  EXPECT_EQ(settings.admin_addresses, (std::vector<std::string>{"127.0.0.1:1", "127.0.0.1:2"}));
  EXPECT_EQ(settings.limits.ready_timeout, Time(101));
  EXPECT_EQ(settings.limits.contact_timeout, Time(102));
  EXPECT_EQ(settings.limits.initial_backoff, Time(103));
  EXPECT_EQ(settings.limits.max_backoff, Time(104));
  EXPECT_EQ(settings.limits.stable_after, Time(105));
  EXPECT_EQ(settings.limits.max_exits, 6);
  EXPECT_EQ(settings.limits.max_exits_on_probation, 7);
  EXPECT_TRUE(settings.json_log);
  ASSERT_NE(settings.Find("v1"), nullptr);
  EXPECT_EQ(settings.Find("v1")->program, "/p");
  EXPECT_EQ(settings.Find("v1")->settings, "/s");
  EXPECT_EQ(settings.Find("v1")->digest, "d");
  EXPECT_EQ(settings.Find("v2"), nullptr);
}

TEST(SupervisorSettings, FirstVersionThatIsNotThereIsRejected) {
  try {
    config::LoadText<Settings>("first = \"v3\"\n[[version]]\nname = \"v1\"\nprogram = \"/p\"\n", "f.toml");
    FAIL();
  } catch (const config::InvalidFile& error) {
    EXPECT_STREQ(error.what(), "f.toml:1:9: first: must be the name of one of the [[version]] tables");
  }
}

// Guards against a changed hash: operators have stored the digests that earlier program versions printed.
TEST(SupervisorSettings, DigestOfAVersionIsFixed) {
  const testing_support::TemporaryFolder folder;
  Version version;
  version.program = folder.Write("program", "abc");
  EXPECT_EQ(DigestOf(version), "52d58cdd5301992e");
  version.settings = folder.Write("settings", "def");
  EXPECT_EQ(DigestOf(version), "ddb9e91fabd014de");
}

}  // namespace
}  // namespace copperpoint::supervisor
