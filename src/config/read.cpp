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

Diagnostic DiagnosticAt(const toml::source_region& source, std::string key, std::string message) {
  return {static_cast<int>(source.begin.line), static_cast<int>(source.begin.column), std::move(key),
          std::move(message)};
}

std::string JoinNames(const std::vector<std::string>& words) {
  return fmt::format("{}", fmt::join(words, ", "));
}

const char* TypeName(const toml::node& node) {
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

// Assigns the values of one table to the struct that describes its keys; appends errors to `diagnostics`.
class Reader : public FieldVisitor {
 public:
  Reader(const toml::table& table, std::string path, std::vector<Diagnostic>& diagnostics)
      : table_(table), path_(std::move(path)), diagnostics_(diagnostics) {}

  // Reports each key of the table that the struct has not described as unknown.
  void ReportUnknownKeys() {
    for (const auto& [key, node] : table_) {
      if (!seen_.contains(std::string(key.str())))
        diagnostics_.push_back(
            DiagnosticAt(key.source(), Path(key.str()), "unknown key; expected one of " + KnownKeys()));
    }
  }

  void Number(std::string_view key, double& value, const FieldInfo& info) override {
    const toml::node* node = Find(key);
    if (!node) return;
    const auto read = node->value<double>();
    if (!node->is_number() || !read) return ReportWrongType(key, *node, "a number");
    if (!std::isfinite(*read) || *read < info.min || *read > info.max)
      return ReportOutOfRange(key, *node, fmt::format("{}", *read), info);
    value = *read;
  }
  void Integer(std::string_view key, std::int64_t& value, const FieldInfo& info) override {
    const toml::node* node = Find(key);
    if (!node) return;
    const auto read = node->value<std::int64_t>();
    if (!node->is_integer() || !read) return ReportWrongType(key, *node, "a whole number");
    const auto wide = static_cast<double>(*read);
    if (wide < info.min || wide > info.max) return ReportOutOfRange(key, *node, std::to_string(*read), info);
    value = *read;
  }
  void Boolean(std::string_view key, bool& value, const FieldInfo&) override {
    const toml::node* node = Find(key);
    if (!node) return;
    if (!node->is_boolean()) return ReportWrongType(key, *node, "true or false");
    value = *node->value<bool>();
  }
  void Text(std::string_view key, std::string& value, const std::vector<std::string>& choices,
            const FieldInfo&) override {
    const toml::node* node = Find(key);
    if (!node) return;
    if (!node->is_string()) return ReportWrongType(key, *node, "text");
    const std::string read = *node->value<std::string>();
    if (!choices.empty() && std::find(choices.begin(), choices.end(), read) == choices.end()) {
      diagnostics_.push_back(DiagnosticAt(node->source(), Path(key),
                                          fmt::format("'{}' is none of {}", read, JoinNames(choices))));
      return;
    }
    value = read;
  }
  void TextList(std::string_view key, std::vector<std::string>& values, const FieldInfo&) override {
    const toml::node* node = Find(key);
    if (!node) return;
    if (!node->is_array()) return ReportWrongType(key, *node, "an array of texts");
    std::vector<std::string> read;
    for (const toml::node& item : *node->as_array()) {
      if (!item.is_string()) return ReportWrongType(key, item, "text");
      read.push_back(*item.value<std::string>());
    }
    values = std::move(read);
  }
  void Table(std::string_view key, std::string_view,
             const std::function<void(FieldVisitor&)>& fields) override {
    const toml::node* node = Find(key);
    if (!node) return;
    if (!node->is_table()) return ReportWrongType(key, *node, "a table");
    Reader inner(*node->as_table(), Path(key), diagnostics_);
    fields(inner);
    inner.ReportUnknownKeys();
  }
  void TableArray(std::string_view key, std::string_view, std::size_t,
                  const std::function<void(std::size_t)>& resize,
                  const std::function<void(std::size_t, FieldVisitor&)>& fields) override {
    const toml::node* node = Find(key);
    if (!node) return;
    const toml::array* array = node->as_array();
    if (!array) return ReportWrongType(key, *node, "an array of tables");
    for (const toml::node& item : *array) {
      if (!item.is_table()) return ReportWrongType(key, item, "a table");
    }
    resize(0);
    resize(array->size());
    for (std::size_t i = 0; i < array->size(); ++i) {
      Reader inner(*(*array)[i].as_table(), fmt::format("{}[{}]", Path(key), i), diagnostics_);
      fields(i, inner);
      inner.ReportUnknownKeys();
    }
  }
  void Require(std::string_view key, bool holds, const std::string& message) override {
    if (holds) return;
    const toml::node* node = table_.get(key);
    diagnostics_.push_back(DiagnosticAt(node ? node->source() : table_.source(), Path(key), message));
  }

 private:
  std::string Path(std::string_view key) const {
    return path_.empty() ? std::string(key) : fmt::format("{}.{}", path_, key);
  }
  const toml::node* Find(std::string_view key) {
    seen_.emplace(key);
    return table_.get(key);
  }
  void ReportWrongType(std::string_view key, const toml::node& node, const char* expected) {
    diagnostics_.push_back(
        DiagnosticAt(node.source(), Path(key), fmt::format("expected {}, got {}", expected, TypeName(node))));
  }
  void ReportOutOfRange(std::string_view key, const toml::node& node, const std::string& value,
                        const FieldInfo& info) {
    diagnostics_.push_back(DiagnosticAt(node.source(), Path(key),
                                        fmt::format("{} is out of range: {} to {}{}{}", value, info.min,
                                                    info.max, info.unit.empty() ? "" : " ", info.unit)));
  }
  std::string KnownKeys() const { return JoinNames({seen_.begin(), seen_.end()}); }

  const toml::table& table_;
  const std::string path_;
  std::vector<Diagnostic>& diagnostics_;
  std::set<std::string> seen_;
};

std::string DescribeAll(const std::string& file, const std::vector<Diagnostic>& diagnostics) {
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
    : std::runtime_error(DescribeAll(file, diagnostics)), diagnostics_(std::move(diagnostics)) {}

void ParseText(std::string_view text, const std::string& file,
               const std::function<void(FieldVisitor&)>& describe) {
  std::vector<Diagnostic> diagnostics;
  toml::table root;
  try {
    root = toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    throw InvalidFile(file, {DiagnosticAt(error.source(), "", std::string(error.description()))});
  }
  Reader reader(root, "", diagnostics);
  describe(reader);
  reader.ReportUnknownKeys();
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
  if (in.bad()) throw InvalidFile(file, {{0, 0, "", "read error before the end of the file"}});
  return text;
}

void ParseFile(const std::string& file, const std::function<void(FieldVisitor&)>& describe) {
  ParseText(ReadFileContents(file), file, describe);
}

}  // namespace copperpoint::config
