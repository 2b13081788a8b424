// SPDX-License-Identifier: Apache-2.0
#include "config/edit.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <charconv>
#include <sstream>
#include <stdexcept>
#include <vector>

#include "config/read.h"

namespace copperpoint::config {
namespace {

std::invalid_argument InvalidPath(const std::string& path, const std::string& part) {
  return std::invalid_argument(
      fmt::format("{}: cannot resolve '{}'; expected a key of a table or the index of an existing array item",
                  path, part));
}

std::size_t ParseIndex(const std::string& path, const std::string& part) {
  std::size_t index = 0;
  const auto [end, error] = std::from_chars(part.data(), part.data() + part.size(), index);
  if (error != std::errc() || end != part.data() + part.size()) throw InvalidPath(path, part);
  return index;
}

// Returns the value of key `part` of a table, which is created if missing, or item `part` of an array.
toml::node* ChildOf(toml::node& at, const std::string& path, const std::string& part) {
  if (toml::table* table = at.as_table()) {
    if (!table->contains(part)) table->insert(part, toml::table{});
    return table->get(part);
  }
  if (toml::array* array = at.as_array()) {
    toml::node* item = array->get(ParseIndex(path, part));
    if (item) return item;
  }
  throw InvalidPath(path, part);
}

// Returns a table whose key "value" holds `value`: as TOML if it is valid TOML, else as text.
toml::table ParseValue(const std::string& value) {
  try {
    return toml::parse("value = " + value);
  } catch (const toml::parse_error&) {
    return toml::table{{"value", value}};
  }
}

}  // namespace

std::string SetKey(std::string_view text, const std::string& file, const std::string& path,
                   const std::string& value) {
  toml::table root;
  try {
    root = toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    throw InvalidFile(
        file, {{static_cast<int>(error.source().begin.line), static_cast<int>(error.source().begin.column),
                "", std::string(error.description())}});
  }
  std::vector<std::string> parts;
  boost::algorithm::split(parts, path, boost::algorithm::is_any_of("."));
  toml::node* at = &root;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) at = ChildOf(*at, path, parts[i]);
  toml::table* table = at->as_table();
  if (!table || parts.back().empty()) throw InvalidPath(path, parts.back());
  const toml::table read = ParseValue(value);
  read.get("value")->visit([&](const auto& node) { table->insert_or_assign(parts.back(), node); });
  std::ostringstream out;
  out << toml::toml_formatter(root) << '\n';
  return out.str();
}

}  // namespace copperpoint::config
