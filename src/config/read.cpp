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

Fault At(const toml::source_region& place, std::string key, std::string what) {
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

class Reader : public Visitor {
 public:
  Reader(const toml::table& table, std::string path, std::vector<Fault>& faults)
      : table_(table), path_(std::move(path)), faults_(faults) {}

  // Whatever nobody asked for is unknown.
  void Finish() {
    for (const auto& [key, node] : table_) {
      if (!seen_.contains(std::string(key.str())))
        faults_.push_back(At(key.source(), Path(key.str()), "unknown key; known here: " + Known()));
    }
  }

  void Number(std::string_view key, double& value, const About& about) override {
    const toml::node* node = Find(key);
    if (!node) return;
    const auto read = node->value<double>();
    if (!node->is_number() || !read) return Wrong(key, *node, "a number");
    if (!std::isfinite(*read) || *read < about.least || *read > about.most)
      return OutOfRange(key, *node, fmt::format("{}", *read), about);
    value = *read;
  }
  void Whole(std::string_view key, std::int64_t& value, const About& about) override {
    const toml::node* node = Find(key);
    if (!node) return;
    const auto read = node->value<std::int64_t>();
    if (!node->is_integer() || !read) return Wrong(key, *node, "a whole number");
    const auto wide = static_cast<double>(*read);
    if (wide < about.least || wide > about.most) return OutOfRange(key, *node, std::to_string(*read), about);
    value = *read;
  }
  void Flag(std::string_view key, bool& value, const About&) override {
    const toml::node* node = Find(key);
    if (!node) return;
    if (!node->is_boolean()) return Wrong(key, *node, "true or false");
    value = *node->value<bool>();
  }
  void Word(std::string_view key, std::string& value, const std::vector<std::string>& choices,
            const About&) override {
    const toml::node* node = Find(key);
    if (!node) return;
    if (!node->is_string()) return Wrong(key, *node, "text");
    const std::string read = *node->value<std::string>();
    if (!choices.empty() && std::find(choices.begin(), choices.end(), read) == choices.end()) {
      faults_.push_back(
          At(node->source(), Path(key), fmt::format("'{}' is none of {}", read, Joined(choices))));
      return;
    }
    value = read;
  }
  void Words(std::string_view key, std::vector<std::string>& values, const About&) override {
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
  void Table(std::string_view key, std::string_view, const std::function<void(Visitor&)>& fields) override {
    const toml::node* node = Find(key);
    if (!node) return;
    if (!node->is_table()) return Wrong(key, *node, "a table");
    Reader inner(*node->as_table(), Path(key), faults_);
    fields(inner);
    inner.Finish();
  }
  void Tables(std::string_view key, std::string_view, std::size_t,
              const std::function<void(std::size_t)>& resize,
              const std::function<void(std::size_t, Visitor&)>& fields) override {
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
      Reader inner(*(*array)[i].as_table(), fmt::format("{}[{}]", Path(key), i), faults_);
      fields(i, inner);
      inner.Finish();
    }
  }
  void Check(std::string_view key, bool holds, const std::string& what) override {
    if (holds) return;
    const toml::node* node = table_.get(key);
    faults_.push_back(At(node ? node->source() : table_.source(), Path(key), what));
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
    faults_.push_back(
        At(node.source(), Path(key), fmt::format("{} is wanted, not {}", wanted, KindOf(node))));
  }
  void OutOfRange(std::string_view key, const toml::node& node, const std::string& value,
                  const About& about) {
    faults_.push_back(At(node.source(), Path(key),
                         fmt::format("{} is out of range: {} to {}{}{}", value, about.least, about.most,
                                     about.unit.empty() ? "" : " ", about.unit)));
  }
  std::string Known() const { return Joined({seen_.begin(), seen_.end()}); }

  const toml::table& table_;
  const std::string path_;
  std::vector<Fault>& faults_;
  std::set<std::string> seen_;
};

std::string Lines(const std::string& file, const std::vector<Fault>& faults) {
  std::string text;
  for (const Fault& fault : faults) {
    if (!text.empty()) text += '\n';
    text += Describe(file, fault);
  }
  return text;
}

}  // namespace

std::string Describe(const std::string& file, const Fault& fault) {
  std::string text = file;
  if (fault.line > 0) text += fmt::format(":{}:{}", fault.line, fault.column);
  if (!fault.key.empty()) text += fmt::format(": {}", fault.key);
  return fmt::format("{}: {}", text, fault.what);
}

BadFile::BadFile(const std::string& file, std::vector<Fault> faults)
    : std::runtime_error(Lines(file, faults)), faults_(std::move(faults)) {}

void ReadText(std::string_view text, const std::string& file, const std::function<void(Visitor&)>& describe) {
  std::vector<Fault> faults;
  toml::table root;
  try {
    root = toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    throw BadFile(file, {At(error.source(), "", std::string(error.description()))});
  }
  Reader reader(root, "", faults);
  describe(reader);
  reader.Finish();
  if (faults.empty()) return;
  std::stable_sort(faults.begin(), faults.end(), [](const Fault& a, const Fault& b) {
    return std::pair(a.line, a.column) < std::pair(b.line, b.column);
  });
  throw BadFile(file, std::move(faults));
}

std::string Contents(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) throw BadFile(file, {{0, 0, "", "cannot be read"}});
  std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
  if (in.bad()) throw BadFile(file, {{0, 0, "", "cannot be read to its end"}});
  return text;
}

void ReadFile(const std::string& file, const std::function<void(Visitor&)>& describe) {
  ReadText(Contents(file), file, describe);
}

}  // namespace copperpoint::config
