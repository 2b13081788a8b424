// SPDX-License-Identifier: Apache-2.0
#include "config/show.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <sstream>

namespace copperpoint::config {
namespace {

// Inserts the value of each key into a TOML table.
class TomlWriter : public FieldVisitor {
 public:
  explicit TomlWriter(toml::table& table) : table_(table) {}

  void Number(std::string_view key, double& value, const FieldInfo&) override { table_.insert(key, value); }
  void Integer(std::string_view key, std::int64_t& value, const FieldInfo&) override {
    table_.insert(key, value);
  }
  void Boolean(std::string_view key, bool& value, const FieldInfo&) override { table_.insert(key, value); }
  void Text(std::string_view key, std::string& value, const std::vector<std::string>&,
            const FieldInfo&) override {
    table_.insert(key, value);
  }
  void TextList(std::string_view key, std::vector<std::string>& values, const FieldInfo&) override {
    toml::array array;
    for (const std::string& value : values) array.push_back(value);
    table_.insert(key, std::move(array));
  }
  void Table(std::string_view key, std::string_view,
             const std::function<void(FieldVisitor&)>& fields) override {
    toml::table inner;
    TomlWriter writer(inner);
    fields(writer);
    table_.insert(key, std::move(inner));
  }
  void TableArray(std::string_view key, std::string_view, std::size_t size,
                  const std::function<void(std::size_t)>&,
                  const std::function<void(std::size_t, FieldVisitor&)>& fields) override {
    toml::array array;
    for (std::size_t i = 0; i < size; ++i) {
      toml::table inner;
      TomlWriter writer(inner);
      fields(i, writer);
      array.push_back(std::move(inner));
    }
    table_.insert(key, std::move(array));
  }

 private:
  toml::table& table_;
};

// Formats the table of one section; nested sections follow it.
class ReferenceWriter : public FieldVisitor {
 public:
  explicit ReferenceWriter(std::string path) : path_(std::move(path)) {}

  std::string Text() const {
    std::string text;
    if (!rows_.empty())
      text = "| key | default | range | what it sets |\n| --- | --- | --- | --- |\n" + rows_;
    return text + inner_;
  }

  void Number(std::string_view key, double& value, const FieldInfo& info) override {
    AddRow(key, fmt::format("{}", value), Range(info), info);
  }
  void Integer(std::string_view key, std::int64_t& value, const FieldInfo& info) override {
    AddRow(key, fmt::format("{}", value), Range(info), info);
  }
  void Boolean(std::string_view key, bool& value, const FieldInfo& info) override {
    AddRow(key, value ? "true" : "false", "true, false", info);
  }
  void Text(std::string_view key, std::string& value, const std::vector<std::string>& choices,
            const FieldInfo& info) override {
    AddRow(key, fmt::format("\"{}\"", value),
           choices.empty() ? "text" : fmt::format("{}", fmt::join(choices, ", ")), info);
  }
  void TextList(std::string_view key, std::vector<std::string>& values, const FieldInfo& info) override {
    const char* quote = values.empty() ? "" : "\"";
    AddRow(key, fmt::format("[{}{}{}]", quote, fmt::join(values, "\", \""), quote), "array of texts", info);
  }
  void Table(std::string_view key, std::string_view text,
             const std::function<void(FieldVisitor&)>& fields) override {
    AddSection(key, "[{}]", text, fields);
  }
  void TableArray(std::string_view key, std::string_view text, std::size_t,
                  const std::function<void(std::size_t)>& resize,
                  const std::function<void(std::size_t, FieldVisitor&)>& fields) override {
    resize(0);
    resize(1);
    AddSection(key, "[[{}]]", text, [&](FieldVisitor& v) { fields(0, v); });
  }

 private:
  static std::string Range(const FieldInfo& info) {
    const char* blank = info.unit.empty() ? "" : " ";
    return info.max >= 1e12 ? fmt::format("{} or more{}{}", info.min, blank, info.unit)
                            : fmt::format("{} to {}{}{}", info.min, info.max, blank, info.unit);
  }
  void AddRow(std::string_view key, const std::string& value, const std::string& range,
              const FieldInfo& info) {
    rows_ += fmt::format("| `{}` | `{}` | {} | {} |\n", key, value, range, info.text);
  }
  void AddSection(std::string_view key, fmt::string_view heading, std::string_view text,
                  const std::function<void(FieldVisitor&)>& fields) {
    ReferenceWriter inner(path_.empty() ? std::string(key) : fmt::format("{}.{}", path_, key));
    fields(inner);
    inner_ += fmt::format("\n## `{}`\n\n{}\n\n{}", fmt::format(fmt::runtime(heading), inner.path_), text,
                          inner.Text());
  }

  const std::string path_;
  std::string rows_, inner_;
};

}  // namespace

std::string FormatValues(const std::function<void(FieldVisitor&)>& describe) {
  toml::table root;
  TomlWriter writer(root);
  describe(writer);
  std::ostringstream out;
  out << toml::toml_formatter(root) << '\n';
  return out.str();
}

std::string FormatReference(const std::function<void(FieldVisitor&)>& describe) {
  ReferenceWriter reference("");
  describe(reference);
  return reference.Text();
}

}  // namespace copperpoint::config
