// SPDX-License-Identifier: Apache-2.0
//
// Reading and formatting of structs that describe their keys: every error of a file must be reported with its
// line, column and key, and formatted values must read back.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "config/read.h"
#include "config/show.h"

namespace copperpoint::config {
namespace {

struct Item {
  std::string name = "one";
  double share = 0.5;
  void Describe(FieldVisitor& v) {
    v.Text("name", name, {}, {.text = "its name"});
    v.Number("share", share, {.text = "of the whole", .max = 1});
  }
};

struct Sample {
  double ratio = 0.25;
  std::int64_t count = 3;
  bool on = false;
  std::string colour = "red";
  std::vector<std::string> tags;
  std::vector<Item> items;
  Item inner;
  void Describe(FieldVisitor& v) {
    v.Number("ratio", ratio, {.text = "a ratio", .unit = "ms", .min = 0.1, .max = 2});
    v.Integer("count", count, {.text = "a count", .min = 1, .max = 10});
    v.Boolean("on", on, {.text = "a switch"});
    v.Text("colour", colour, {"red", "green"}, {.text = "a colour"});
    v.TextList("tags", tags, {.text = "some tags"});
    v.Section("inner", "An inner table.", inner);
    v.ItemList("item", "Items.", items);
    v.Require("count", count != 7, "seven is not wanted");
  }
};

std::string ErrorsOf(const std::string& text) {
  try {
    LoadText<Sample>(text, "f.toml");
  } catch (const InvalidFile& error) {
    return error.what();
  }
  return "";
}

TEST(Schema, AbsentKeysKeepTheirDefaults) {
  const auto read = LoadText<Sample>("", "f.toml");
  EXPECT_EQ(read.ratio, 0.25);
  EXPECT_EQ(read.colour, "red");
  EXPECT_TRUE(read.items.empty());
}

TEST(Schema, ReadsEveryKindOfKey) {
  const auto read = LoadText<Sample>(
      "ratio = 1\ncount = 4\non = true\ncolour = \"green\"\ntags = [\"a\", \"b\"]\n"
      "[inner]\nshare = 0.75\n[[item]]\nname = \"x\"\n[[item]]\n",
      "f.toml");
  EXPECT_EQ(read.ratio, 1);
  EXPECT_EQ(read.count, 4);
  EXPECT_TRUE(read.on);
  EXPECT_EQ(read.colour, "green");
  EXPECT_EQ(read.tags, (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(read.inner.share, 0.75);
  ASSERT_EQ(read.items.size(), 2u);
  EXPECT_EQ(read.items[0].name, "x");
  EXPECT_EQ(read.items[1].name, "one");
}

TEST(Schema, ReportsAllErrorsAtOnceWithLineColumnAndKey) {
  EXPECT_EQ(ErrorsOf("ratio = 5\ncount = 1.5\n  colour = \"blue\"\n[inner]\nshar = 1\n"),
            "f.toml:1:9: ratio: 5 is out of range: 0.1 to 2 ms\n"
            "f.toml:2:9: count: expected a whole number, got a number with a fraction\n"
            "f.toml:3:12: colour: 'blue' is none of red, green\n"
            "f.toml:5:1: inner.shar: unknown key; expected one of name, share");
}

TEST(Schema, WrongTypesAreReportedWithTheExpectedType) {
  EXPECT_EQ(ErrorsOf("on = 1"), "f.toml:1:6: on: expected true or false, got a whole number");
  EXPECT_EQ(ErrorsOf("inner = 1"), "f.toml:1:9: inner: expected a table, got a whole number");
  EXPECT_EQ(ErrorsOf("item = [1]"), "f.toml:1:9: item: expected a table, got a whole number");
  EXPECT_EQ(ErrorsOf("tags = [1]"), "f.toml:1:9: tags: expected text, got a whole number");
  EXPECT_EQ(ErrorsOf("ratio = nan"), "f.toml:1:9: ratio: nan is out of range: 0.1 to 2 ms");
  EXPECT_EQ(ErrorsOf("colour = 1979-05-27"), "f.toml:1:10: colour: expected text, got a date or time");
}

TEST(Schema, ErrorsInAnArrayOfTablesNameTheItem) {
  EXPECT_EQ(ErrorsOf("[[item]]\n[[item]]\nshare = 2\n"),
            "f.toml:3:9: item[1].share: 2 is out of range: 0 to 1");
}

TEST(Schema, UnmetRequirementsOfTheStructAreErrors) {
  EXPECT_EQ(ErrorsOf("count = 7"), "f.toml:1:9: count: seven is not wanted");
}

TEST(Schema, SyntaxErrorsHaveALine) {
  const std::string errors = ErrorsOf("ratio = 1\ncount = = 2\n");
  EXPECT_EQ(errors.find("f.toml:2:"), 0u) << errors;
}

TEST(Schema, AMissingFileIsAnError) { EXPECT_THROW(LoadFile<Sample>("/nowhere/at/all.toml"), InvalidFile); }

TEST(Schema, FormattedValuesReadBack) {
  auto sample = LoadText<Sample>("ratio = 0.3\n[[item]]\nname = \"q \\\"uote\\\"\"\n", "f.toml");
  const std::string formatted = FormatValues([&](FieldVisitor& v) { sample.Describe(v); });
  auto again = LoadText<Sample>(formatted, "formatted");
  EXPECT_EQ(again.ratio, 0.3);
  ASSERT_EQ(again.items.size(), 1u);
  EXPECT_EQ(again.items[0].name, "q \"uote\"");
  EXPECT_EQ(FormatValues([&](FieldVisitor& v) { again.Describe(v); }), formatted);
}

TEST(Schema, TheReferenceHasARowForEachKey) {
  Sample sample;
  const std::string page = FormatReference([&](FieldVisitor& v) { sample.Describe(v); });
  for (const char* row :
       {"| `ratio` | `0.25` | 0.1 to 2 ms | a ratio |", "| `colour` | `\"red\"` | red, green |",
        "## `[inner]`", "## `[[item]]`", "| `share` | `0.5` | 0 to 1 | of the whole |"})
    EXPECT_NE(page.find(row), std::string::npos) << row << "\nin\n" << page;
}

}  // namespace
}  // namespace copperpoint::config
