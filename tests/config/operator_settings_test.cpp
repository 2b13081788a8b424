// SPDX-License-Identifier: Apache-2.0
#include "proxy/config/operator_settings.h"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <string>

#include "config/read.h"

namespace copperpoint::proxy {
namespace {

std::string Contents(const std::string& path) {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

TEST(OperatorSettings, DocumentationMatchesTheCode) {
  EXPECT_EQ(Contents(std::string(SOURCE_DIR) + "/docs/configuration.md"), ConfigurationReference())
      << "write it anew: copperpoint config reference > docs/configuration.md";
}

TEST(OperatorSettings, ShippedFileIsValidAndSaysTheDefaults) {
  const auto shipped = config::Read<OperatorSettings>(std::string(SOURCE_DIR) + "/deploy/copperpoint.toml");
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
  struct Ranges : config::Visitor {
    void Number(std::string_view key, double& value, const config::About& about) override {
      EXPECT_GE(value, about.least) << key;
      EXPECT_LE(value, about.most) << key;
      EXPECT_FALSE(about.text.empty()) << key;
    }
    void Whole(std::string_view key, std::int64_t& value, const config::About& about) override {
      auto wide = static_cast<double>(value);
      Number(key, wide, about);
    }
    void Flag(std::string_view, bool&, const config::About&) override {}
    void Word(std::string_view, std::string&, const std::vector<std::string>&,
              const config::About&) override {}
    void Words(std::string_view, std::vector<std::string>&, const config::About&) override {}
    void Table(std::string_view, std::string_view, const std::function<void(Visitor&)>& fields) override {
      fields(*this);
    }
    void Tables(std::string_view, std::string_view, std::size_t, const std::function<void(std::size_t)>&,
                const std::function<void(std::size_t, Visitor&)>&) override {}
  } ranges;
  defaults.Describe(ranges);
}

TEST(OperatorSettings, RejectsValueOutOfRangeWithItsKey) {
  try {
    config::ReadFrom<OperatorSettings>("[shares]\nclients = 0.95\n[patience]\nkept_ms = -1\n", "f");
    FAIL();
  } catch (const config::BadFile& error) {
    EXPECT_STREQ(error.what(),
                 "f:2:11: shares.clients: 0.95 is out of range: 0.1 to 0.9\n"
                 "f:4:11: patience.kept_ms: -1 is out of range: 1 to 86400000 ms");
  }
}

}  // namespace
}  // namespace copperpoint::proxy
