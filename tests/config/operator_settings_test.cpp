// SPDX-License-Identifier: Apache-2.0
//
// The keys of the operator's file: defaults, ranges, errors, and the reference page that is generated from
// them.
#include "proxy/config/operator_settings.h"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <string>

#include "config/read.h"
#include "proxy/config/configuration_reference.h"

namespace copperpoint::proxy {
namespace {

std::string ReadFileContents(const std::string& path) {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

TEST(OperatorSettings, DocumentationMatchesTheCode) {
  EXPECT_EQ(ReadFileContents(std::string(SOURCE_DIR) + "/docs/configuration.md"), ConfigurationReference())
      << "regenerate it: copperpoint config reference > docs/configuration.md";
}

TEST(OperatorSettings, ShippedFileIsValidAndContainsTheDefaults) {
  const auto shipped =
      config::LoadFile<OperatorSettings>(std::string(SOURCE_DIR) + "/deploy/copperpoint.toml");
  const OperatorSettings defaults;
  EXPECT_EQ(shipped.timeouts.keep_alive, defaults.timeouts.keep_alive);
  EXPECT_EQ(shipped.timeouts.response_write, defaults.timeouts.response_write);
  EXPECT_EQ(shipped.timeouts.body_stall, defaults.timeouts.body_stall);
  EXPECT_EQ(shipped.upgrade.endpoint_list, defaults.upgrade.endpoint_list);
  EXPECT_EQ(shipped.upgrade.listener, defaults.upgrade.listener);
  EXPECT_EQ(shipped.log.lines_per_s, defaults.log.lines_per_s);
}

TEST(OperatorSettings, EveryDefaultIsWithinItsRange) {
  OperatorSettings defaults;
  struct Ranges : config::FieldVisitor {
    void Number(std::string_view key, double& value, const config::FieldInfo& info) override {
      EXPECT_GE(value, info.min) << key;
      EXPECT_LE(value, info.max) << key;
      EXPECT_FALSE(info.text.empty()) << key;
    }
    void Integer(std::string_view key, std::int64_t& value, const config::FieldInfo& info) override {
      auto wide = static_cast<double>(value);
      Number(key, wide, info);
    }
    void Boolean(std::string_view, bool&, const config::FieldInfo&) override {}
    void Text(std::string_view, std::string&, const std::vector<std::string>&,
              const config::FieldInfo&) override {}
    void TextList(std::string_view, std::vector<std::string>&, const config::FieldInfo&) override {}
    void Table(std::string_view, std::string_view,
               const std::function<void(FieldVisitor&)>& fields) override {
      fields(*this);
    }
    void TableArray(std::string_view, std::string_view, std::size_t, const std::function<void(std::size_t)>&,
                    const std::function<void(std::size_t, FieldVisitor&)>&) override {}
  } ranges;
  defaults.Describe(ranges);
}

std::string ErrorOf(const std::string& text) {
  try {
    config::LoadText<OperatorSettings>(text, "f");
  } catch (const config::InvalidFile& error) {
    return error.what();
  }
  return "";
}

TEST(OperatorSettings, ReadsEverySectionAndLeavesTheOtherKeysAtTheirDefaults) {
  const auto settings = config::LoadText<OperatorSettings>(
      "[log]\nlevel = \"debug\"\n[patience]\nkept_ms = 5\n[shares]\nclients = 0.5\nkept_body = 65536\n"
      "[upgrade]\nlist_ms = 7\n[fleet]\ncluster = \"c\"\nlisten = \"127.0.0.1:9\"\nkey_file = \"k\"\n"
      "seeds = [\"127.0.0.1:10\"]\nsubsets = false\n",
      "f");
  EXPECT_EQ(settings.log.level, log::Level::kDebug);
  EXPECT_EQ(settings.timeouts.keep_alive, std::chrono::milliseconds(5));
  EXPECT_EQ(settings.shares.client_descriptors, 0.5);
  EXPECT_EQ(settings.shares.max_buffered_body_bytes, 65536);
  EXPECT_EQ(settings.upgrade.endpoint_list, std::chrono::milliseconds(7));
  EXPECT_TRUE(settings.fleet.on());
  EXPECT_EQ(settings.fleet.seeds, std::vector<std::string>{"127.0.0.1:10"});
  EXPECT_FALSE(settings.fleet.subsets);
  const OperatorSettings defaults;
  EXPECT_EQ(settings.timeouts.request_head, defaults.timeouts.request_head);
  EXPECT_EQ(settings.shares.body_memory, defaults.shares.body_memory);
  EXPECT_EQ(settings.upgrade.listener, defaults.upgrade.listener);
  EXPECT_EQ(settings.fleet.advertise, "");
}

TEST(OperatorSettings, EmptyFileHasTheDefaults) {
  const auto settings = config::LoadText<OperatorSettings>("", "f");
  EXPECT_EQ(settings.timeouts.keep_alive, Timeouts().keep_alive);
  EXPECT_FALSE(settings.fleet.on());
}

TEST(OperatorSettings, RejectsWrongTypesWithLineColumnAndKey) {
  EXPECT_EQ(ErrorOf("[patience]\nkept_ms = \"1\"\n"),
            "f:2:11: patience.kept_ms: expected a whole number, got text");
  EXPECT_EQ(ErrorOf("[patience]\nkept_ms = 1.5\n"),
            "f:2:11: patience.kept_ms: expected a whole number, got a number with a fraction");
  EXPECT_EQ(ErrorOf("shares = 1\n"), "f:1:10: shares: expected a table, got a whole number");
  EXPECT_EQ(ErrorOf("[fleet]\nsubsets = 1\n"),
            "f:2:11: fleet.subsets: expected true or false, got a whole number");
  EXPECT_EQ(ErrorOf("[log]\nlevel = \"loud\"\n"),
            "f:2:9: log.level: 'loud' is none of debug, info, warn, error, off");
}

TEST(OperatorSettings, RejectsUnknownKeysAndNamesTheKnownOnes) {
  EXPECT_EQ(ErrorOf("[upgrade]\nlists_ms = 1\n"),
            "f:2:1: upgrade.lists_ms: unknown key; expected one of list_ms, listener_ms");
  EXPECT_EQ(ErrorOf("patience_ms = 1\n"),
            "f:1:1: patience_ms: unknown key; expected one of fleet, log, patience, shares, upgrade");
}

TEST(OperatorSettings, RequiresTheKeysOfAMember) {
  EXPECT_EQ(ErrorOf("[fleet]\ncluster = \"c\"\n"),
            "f:1:1: fleet.listen: must be ADDRESS:PORT, but is ''\nf:1:1: fleet.key_file: is missing");
  EXPECT_EQ(ErrorOf("[fleet]\nseeds = [\"here\"]\n"),
            "f:2:9: fleet.seeds: must be ADDRESS:PORT, but is 'here'");
}

TEST(OperatorSettings, RejectsValueOutOfRangeWithItsKey) {
  try {
    config::LoadText<OperatorSettings>("[shares]\nclients = 0.95\n[patience]\nkept_ms = -1\n", "f");
    FAIL();
  } catch (const config::InvalidFile& error) {
    EXPECT_STREQ(error.what(),
                 "f:2:11: shares.clients: 0.95 is out of range: 0.1 to 0.9\n"
                 "f:4:11: patience.kept_ms: -1 is out of range: 1 to 86400000 ms");
  }
}

}  // namespace
}  // namespace copperpoint::proxy
