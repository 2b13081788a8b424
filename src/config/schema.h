// SPDX-License-Identifier: Apache-2.0
//
// How a settings struct describes its own keys, once, for every purpose: reading a TOML file, showing the
// values in force, and writing the reference page. A struct offers `void Describe(config::Visitor&)` and
// passes each field with its unit, range and one line of text; see read.h and show.h for the visitors.
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

// What is said of a key besides its value. Ranges are inclusive and hold for numbers only.
struct About {
  std::string_view text;
  std::string_view unit = "";
  double least = 0;
  double most = 1e12;
};

class Visitor {
 public:
  virtual ~Visitor() = default;
  virtual void Number(std::string_view key, double& value, const About& about) = 0;
  virtual void Whole(std::string_view key, std::int64_t& value, const About& about) = 0;
  virtual void Flag(std::string_view key, bool& value, const About& about) = 0;
  // One of `choices`; any text if there are none.
  virtual void Word(std::string_view key, std::string& value, const std::vector<std::string>& choices,
                    const About& about) = 0;
  // A table of its own; absent, its fields keep their defaults.
  virtual void Table(std::string_view key, std::string_view text,
                     const std::function<void(Visitor&)>& fields) = 0;
  // An array of tables. `resize` makes room for that many; `fields` describes the one at an index.
  virtual void Tables(std::string_view key, std::string_view text, std::size_t size,
                      const std::function<void(std::size_t)>& resize,
                      const std::function<void(std::size_t, Visitor&)>& fields) = 0;
  // An array of words.
  virtual void Words(std::string_view key, std::vector<std::string>& values, const About& about) = 0;

  // A fault that only the struct can see, such as two keys that contradict each other. Ignored by visitors
  // that do not read.
  virtual void Check(std::string_view /*key*/, bool /*holds*/, const std::string& /*what*/) {}

  // ---- conveniences over the above ----
  void Millis(std::string_view key, std::chrono::milliseconds& value, About about) {
    auto count = static_cast<std::int64_t>(value.count());
    about.unit = "ms";
    Whole(key, count, about);
    value = std::chrono::milliseconds(count);
  }
  void Whole32(std::string_view key, int& value, const About& about) {
    std::int64_t wide = value;
    Whole(key, wide, about);
    value = static_cast<int>(wide);
  }
  template <typename Enum>
  void Choice(std::string_view key, Enum& value, const std::vector<std::pair<std::string, Enum>>& names,
              const About& about) {
    std::vector<std::string> choices;
    std::string word;
    for (const auto& [name, one] : names) {
      choices.push_back(name);
      if (one == value) word = name;
    }
    Word(key, word, choices, about);
    for (const auto& [name, one] : names) {
      if (name == word) value = one;
    }
  }
  template <typename Item>
  void Items(std::string_view key, std::string_view text, std::vector<Item>& items) {
    Tables(
        key, text, items.size(), [&](std::size_t n) { items.resize(n); },
        [&](std::size_t i, Visitor& v) { items[i].Describe(v); });
  }
  template <typename Inner>
  void Section(std::string_view key, std::string_view text, Inner& inner) {
    Table(key, text, [&](Visitor& v) { inner.Describe(v); });
  }
};

}  // namespace copperpoint::config

#endif  // COPPERPOINT_CONFIG_SCHEMA_H_
