// SPDX-License-Identifier: Apache-2.0
#include "config/read.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iterator>
#include <set>

namespace copperpoint::config {
namespace {

Diagnostic At(const toml::source_region& place, std::string key, std::string what) {
  return {static_cast<int>(place.begin.line), static_cast<int>(place.begin.column), std::move(key),
          std::move(what)};
}

std::string Joined(const std::vector<std::string>& words) {
  return fmt::format("{}", fmt::join(words, ", "));
}

const char* KindOf(const toml::node& node) {
  switch (node.type()) {
    case toml::node_type::table:
      return "a table";
    case toml::node_type::array:
      return "an array";
    case toml::node_type::string:
      return "text";
    case toml::node_type::integer:
      return "a whole number";
    case toml::node_type::floating_point:
      return "a number with a fraction";
    case toml::node_type::boolean:
      return "true or false";
    default:
      return "a date or time";
  }
}

class Reader : public FieldVisitor {
 public:
  Reader(const toml::table& table, std::string path, std::vector<Diagnostic>& diagnostics)
      : table_(table), path_(std::move(path)), diagnostics_(diagnostics) {}

  // Whatever nobody asked for is unknown.
  void Finish() {
    for (const auto& [key, node] : table_) {
      if (!seen_.contains(std::string(key.str())))
        diagnostics_.push_back(At(key.source(), Path(key.str()), "unknown key; known here: " + Known()));
    }
  }

  void Number(std::string_view key, double& value, const FieldInfo& info) override {
    const toml::node* node = Find(key);
    if (!node) return;
    const auto read = node->value<double>();
    if (!node->is_number() || !read) return Wrong(key, *node, "a number");
    if (!std::isfinite(*read) || *read < info.min || *read > info.max)
      return OutOfRange(key, *node, fmt::format("{}", *read), info);
    value = *read;
  }
  void Integer(std::string_view key, std::int64_t& value, const FieldInfo& info) override {
    const toml::node* node = Find(key);
    if (!node) return;
    const auto read = node->value<std::int64_t>();
    if (!node->is_integer() || !read) return Wrong(key, *node, "a whole number");
    const auto wide = static_cast<double>(*read);
    if (wide < info.min || wide > info.max) return OutOfRange(key, *node, std::to_string(*read), info);
    value = *read;
  }
  void Boolean(std::string_view key, bool& value, const FieldInfo&) override {
    const toml::node* node = Find(key);
    if (!node) return;
    if (!node->is_boolean()) return Wrong(key, *node, "true or false");
    value = *node->value<bool>();
  }
  void Text(std::string_view key, std::string& value, const std::vector<std::string>& choices,
            const FieldInfo&) override {
    const toml::node* node = Find(key);
    if (!node) return;
    if (!node->is_string()) return Wrong(key, *node, "text");
    const std::string read = *node->value<std::string>();
    if (!choices.empty() && std::find(choices.begin(), choices.end(), read) == choices.end()) {
      diagnostics_.push_back(
          At(node->source(), Path(key), fmt::format("'{}' is none of {}", read, Joined(choices))));
      return;
    }
    value = read;
  }
  void TextList(std::string_view key, std::vector<std::string>& values, const FieldInfo&) override {
    const toml::node* node = Find(key);
    if (!node) return;
    if (!node->is_array()) return Wrong(key, *node, "an array of texts");
    std::vector<std::string> read;
    for (const toml::node& item : *node->as_array()) {
      if (!item.is_string()) return Wrong(key, item, "text");
      read.push_back(*item.value<std::string>());
    }
    values = std::move(read);
  }
  void Table(std::string_view key, std::string_view,
             const std::function<void(FieldVisitor&)>& fields) override {
    const toml::node* node = Find(key);
    if (!node) return;
    if (!node->is_table()) return Wrong(key, *node, "a table");
    Reader inner(*node->as_table(), Path(key), diagnostics_);
    fields(inner);
    inner.Finish();
  }
  void TableArray(std::string_view key, std::string_view, std::size_t,
                  const std::function<void(std::size_t)>& resize,
                  const std::function<void(std::size_t, FieldVisitor&)>& fields) override {
    const toml::node* node = Find(key);
    if (!node) return;
    const toml::array* array = node->as_array();
    if (!array) return Wrong(key, *node, "an array of tables");
    for (const toml::node& item : *array) {
      if (!item.is_table()) return Wrong(key, item, "a table");
    }
    resize(0);
    resize(array->size());
    for (std::size_t i = 0; i < array->size(); ++i) {
      Reader inner(*(*array)[i].as_table(), fmt::format("{}[{}]", Path(key), i), diagnostics_);
      fields(i, inner);
      inner.Finish();
    }
  }
  void Require(std::string_view key, bool holds, const std::string& what) override {
    if (holds) return;
    const toml::node* node = table_.get(key);
    diagnostics_.push_back(At(node ? node->source() : table_.source(), Path(key), what));
  }

 private:
  std::string Path(std::string_view key) const {
    return path_.empty() ? std::string(key) : fmt::format("{}.{}", path_, key);
  }
  const toml::node* Find(std::string_view key) {
    seen_.emplace(key);
    return table_.get(key);
  }
  void Wrong(std::string_view key, const toml::node& node, const char* wanted) {
    diagnostics_.push_back(
        At(node.source(), Path(key), fmt::format("{} is wanted, not {}", wanted, KindOf(node))));
  }
  void OutOfRange(std::string_view key, const toml::node& node, const std::string& value,
                  const FieldInfo& info) {
    diagnostics_.push_back(At(node.source(), Path(key),
                              fmt::format("{} is out of range: {} to {}{}{}", value, info.min, info.max,
                                          info.unit.empty() ? "" : " ", info.unit)));
  }
  std::string Known() const { return Joined({seen_.begin(), seen_.end()}); }

  const toml::table& table_;
  const std::string path_;
  std::vector<Diagnostic>& diagnostics_;
  std::set<std::string> seen_;
};

std::string Lines(const std::string& file, const std::vector<Diagnostic>& diagnostics) {
  std::string text;
  for (const Diagnostic& diagnostic : diagnostics) {
    if (!text.empty()) text += '\n';
    text += Describe(file, diagnostic);
  }
  return text;
}

}  // namespace

std::string Describe(const std::string& file, const Diagnostic& diagnostic) {
  std::string text = file;
  if (diagnostic.line > 0) text += fmt::format(":{}:{}", diagnostic.line, diagnostic.column);
  if (!diagnostic.key.empty()) text += fmt::format(": {}", diagnostic.key);
  return fmt::format("{}: {}", text, diagnostic.message);
}

InvalidFile::InvalidFile(const std::string& file, std::vector<Diagnostic> diagnostics)
    : std::runtime_error(Lines(file, diagnostics)), diagnostics_(std::move(diagnostics)) {}

void ParseText(std::string_view text, const std::string& file,
               const std::function<void(FieldVisitor&)>& describe) {
  std::vector<Diagnostic> diagnostics;
  toml::table root;
  try {
    root = toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    throw InvalidFile(file, {At(error.source(), "", std::string(error.description()))});
  }
  Reader reader(root, "", diagnostics);
  describe(reader);
  reader.Finish();
  if (diagnostics.empty()) return;
  std::stable_sort(diagnostics.begin(), diagnostics.end(), [](const Diagnostic& a, const Diagnostic& b) {
    return std::pair(a.line, a.column) < std::pair(b.line, b.column);
  });
  throw InvalidFile(file, std::move(diagnostics));
}

std::string ReadFileContents(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) throw InvalidFile(file, {{0, 0, "", "cannot be read"}});
  std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
  if (in.bad()) throw InvalidFile(file, {{0, 0, "", "cannot be read to its end"}});
  return text;
}

void ParseFile(const std::string& file, const std::function<void(FieldVisitor&)>& describe) {
  ParseText(ReadFileContents(file), file, describe);
}

}  // namespace copperpoint::config
