// SPDX-License-Identifier: Apache-2.0
//
// A settings struct describes its keys once, for parsing a TOML file, formatting the values in force and
// formatting the reference page. It has a method `void Describe(config::FieldVisitor&)`, which passes each
// field with its unit, range and one line of text to the visitor; read.h and show.h provide the visitors.
#ifndef COPPERPOINT_CONFIG_SCHEMA_H_
#define COPPERPOINT_CONFIG_SCHEMA_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace copperpoint::config {

// The description of a key. `min` and `max` are inclusive and apply to numbers only.
struct FieldInfo {
  std::string_view text;
  std::string_view unit = "";
  double min = 0;
  double max = 1e12;
};

class FieldVisitor {
 public:
  virtual ~FieldVisitor() = default;
  virtual void Number(std::string_view key, double& value, const FieldInfo& info) = 0;
  virtual void Integer(std::string_view key, std::int64_t& value, const FieldInfo& info) = 0;
  virtual void Boolean(std::string_view key, bool& value, const FieldInfo& info) = 0;
  // A string, which must be one of `choices` unless `choices` is empty.
  virtual void Text(std::string_view key, std::string& value, const std::vector<std::string>& choices,
                    const FieldInfo& info) = 0;
  // A nested table. If it is absent, its fields keep their defaults.
  virtual void Table(std::string_view key, std::string_view text,
                     const std::function<void(FieldVisitor&)>& fields) = 0;
  // An array of tables. `resize` sets the number of items; `fields` describes the one at an index.
  virtual void TableArray(std::string_view key, std::string_view text, std::size_t size,
                          const std::function<void(std::size_t)>& resize,
                          const std::function<void(std::size_t, FieldVisitor&)>& fields) = 0;
  // An array of strings.
  virtual void TextList(std::string_view key, std::vector<std::string>& values, const FieldInfo& info) = 0;

  // Reports `message` unless a condition over several keys holds. Ignored by visitors that do not parse.
  virtual void Require(std::string_view /*key*/, bool /*holds*/, const std::string& /*message*/) {}

  // ---- helpers based on the methods above ----
  void Milliseconds(std::string_view key, std::chrono::milliseconds& value, FieldInfo info) {
    auto count = static_cast<std::int64_t>(value.count());
    info.unit = "ms";
    Integer(key, count, info);
    value = std::chrono::milliseconds(count);
  }
  void Int32(std::string_view key, int& value, const FieldInfo& info) {
    std::int64_t wide = value;
    Integer(key, wide, info);
    value = static_cast<int>(wide);
  }
  template <typename T>
  void Enum(std::string_view key, T& value, const std::vector<std::pair<std::string, T>>& names,
            const FieldInfo& info) {
    std::vector<std::string> choices;
    std::string word;
    for (const auto& [name, one] : names) {
      choices.push_back(name);
      if (one == value) word = name;
    }
    Text(key, word, choices, info);
    for (const auto& [name, one] : names) {
      if (name == word) value = one;
    }
  }
  template <typename Item>
  void ItemList(std::string_view key, std::string_view text, std::vector<Item>& items) {
    TableArray(
        key, text, items.size(), [&](std::size_t n) { items.resize(n); },
        [&](std::size_t i, FieldVisitor& v) { items[i].Describe(v); });
  }
  template <typename Inner>
  void Section(std::string_view key, std::string_view text, Inner& inner) {
    Table(key, text, [&](FieldVisitor& v) { inner.Describe(v); });
  }
};

}  // namespace copperpoint::config

#endif  // COPPERPOINT_CONFIG_SCHEMA_H_
