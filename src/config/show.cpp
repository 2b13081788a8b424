// SPDX-License-Identifier: Apache-2.0
#include "config/show.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <sstream>

namespace copperpoint::config {
namespace {

class Writer : public Visitor {
 public:
  explicit Writer(toml::table& table) : table_(table) {}

  void Number(std::string_view key, double& value, const About&) override { table_.insert(key, value); }
  void Whole(std::string_view key, std::int64_t& value, const About&) override { table_.insert(key, value); }
  void Flag(std::string_view key, bool& value, const About&) override { table_.insert(key, value); }
  void Word(std::string_view key, std::string& value, const std::vector<std::string>&,
            const About&) override {
    table_.insert(key, value);
  }
  void Words(std::string_view key, std::vector<std::string>& values, const About&) override {
    toml::array array;
    for (const std::string& value : values) array.push_back(value);
    table_.insert(key, std::move(array));
  }
  void Table(std::string_view key, std::string_view, const std::function<void(Visitor&)>& fields) override {
    toml::table inner;
    Writer writer(inner);
    fields(writer);
    table_.insert(key, std::move(inner));
  }
  void Tables(std::string_view key, std::string_view, std::size_t size,
              const std::function<void(std::size_t)>&,
              const std::function<void(std::size_t, Visitor&)>& fields) override {
    toml::array array;
    for (std::size_t i = 0; i < size; ++i) {
      toml::table inner;
      Writer writer(inner);
      fields(i, writer);
      array.push_back(std::move(inner));
    }
    table_.insert(key, std::move(array));
  }

 private:
  toml::table& table_;
};

class Reference : public Visitor {
 public:
  explicit Reference(std::string path) : path_(std::move(path)) {}

  std::string Text() const {
    std::string text;
    if (!rows_.empty())
      text = "| key | default | range | what it sets |\n| --- | --- | --- | --- |\n" + rows_;
    return text + inner_;
  }

  void Number(std::string_view key, double& value, const About& about) override {
    Row(key, fmt::format("{}", value), Range(about), about);
  }
  void Whole(std::string_view key, std::int64_t& value, const About& about) override {
    Row(key, fmt::format("{}", value), Range(about), about);
  }
  void Flag(std::string_view key, bool& value, const About& about) override {
    Row(key, value ? "true" : "false", "true, false", about);
  }
  void Word(std::string_view key, std::string& value, const std::vector<std::string>& choices,
            const About& about) override {
    Row(key, fmt::format("\"{}\"", value),
        choices.empty() ? "text" : fmt::format("{}", fmt::join(choices, ", ")), about);
  }
  void Words(std::string_view key, std::vector<std::string>& values, const About& about) override {
    const char* quote = values.empty() ? "" : "\"";
    Row(key, fmt::format("[{}{}{}]", quote, fmt::join(values, "\", \""), quote), "array of texts", about);
  }
  void Table(std::string_view key, std::string_view text,
             const std::function<void(Visitor&)>& fields) override {
    Inner(key, "[{}]", text, fields);
  }
  void Tables(std::string_view key, std::string_view text, std::size_t,
              const std::function<void(std::size_t)>& resize,
              const std::function<void(std::size_t, Visitor&)>& fields) override {
    resize(0);
    resize(1);
    Inner(key, "[[{}]]", text, [&](Visitor& v) { fields(0, v); });
  }

 private:
  static std::string Range(const About& about) {
    const char* blank = about.unit.empty() ? "" : " ";
    return about.most >= 1e12 ? fmt::format("{} or more{}{}", about.least, blank, about.unit)
                              : fmt::format("{} to {}{}{}", about.least, about.most, blank, about.unit);
  }
  void Row(std::string_view key, const std::string& value, const std::string& range, const About& about) {
    rows_ += fmt::format("| `{}` | `{}` | {} | {} |\n", key, value, range, about.text);
  }
  void Inner(std::string_view key, fmt::string_view heading, std::string_view text,
             const std::function<void(Visitor&)>& fields) {
    Reference inner(path_.empty() ? std::string(key) : fmt::format("{}.{}", path_, key));
    fields(inner);
    inner_ += fmt::format("\n## `{}`\n\n{}\n\n{}", fmt::format(fmt::runtime(heading), inner.path_), text,
                          inner.Text());
  }

  const std::string path_;
  std::string rows_, inner_;
};

}  // namespace

std::string ShowValues(const std::function<void(Visitor&)>& describe) {
  toml::table root;
  Writer writer(root);
  describe(writer);
  std::ostringstream out;
  out << toml::toml_formatter(root) << '\n';
  return out.str();
}

std::string ShowReference(const std::function<void(Visitor&)>& describe) {
  Reference reference("");
  describe(reference);
  return reference.Text();
}

}  // namespace copperpoint::config
