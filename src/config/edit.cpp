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

std::invalid_argument Lost(const std::string& path, const std::string& part) {
  return std::invalid_argument(fmt::format("{}: there is no {} to go on from", path, part));
}

std::size_t Index(const std::string& path, const std::string& part) {
  std::size_t index = 0;
  const auto [end, error] = std::from_chars(part.data(), part.data() + part.size(), index);
  if (error != std::errc() || end != part.data() + part.size()) throw Lost(path, part);
  return index;
}

toml::node* Step(toml::node& at, const std::string& path, const std::string& part) {
  if (toml::table* table = at.as_table()) {
    if (!table->contains(part)) table->insert(part, toml::table{});
    return table->get(part);
  }
  if (toml::array* array = at.as_array()) {
    toml::node* item = array->get(Index(path, part));
    if (item) return item;
  }
  throw Lost(path, part);
}

toml::table Value(const std::string& value) {
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
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) at = Step(*at, path, parts[i]);
  toml::table* table = at->as_table();
  if (!table || parts.back().empty()) throw Lost(path, parts.back());
  const toml::table read = Value(value);
  read.get("value")->visit([&](const auto& node) { table->insert_or_assign(parts.back(), node); });
  std::ostringstream out;
  out << toml::toml_formatter(root) << '\n';
  return out.str();
}

}  // namespace copperpoint::config
