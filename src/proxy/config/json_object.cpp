// SPDX-License-Identifier: Apache-2.0
#include "proxy/config/json_object.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "proxy/config/config_error.h"

namespace copperpoint::proxy {
namespace {

using nlohmann::json;

[[noreturn]] void ThrowWrongType(const std::string& key, const char* expected_type, const json& value) {
  throw ConfigError(ConfigError::Kind::kWrongType, {.key = key},
                    key + ": type must be " + expected_type + ", but is " + value.type_name());
}

}  // namespace

JsonObject::JsonObject(const json& value, std::string path) : value_(value), path_(std::move(path)) {
  if (!value.is_object()) ThrowWrongType(path_, "object", value);
}

const json* JsonObject::Find(const char* name) const {
  const auto found = value_.find(name);
  return found == value_.end() ? nullptr : &*found;
}

std::string JsonObject::KeyOf(const std::string& name) const {
  return path_.empty() ? name : path_ + '.' + name;
}

template <typename Value>
Value JsonObject::Read(const char* name, const Value& fallback, const char* expected_type) const {
  const json* field = Find(name);
  if (!field) return fallback;
  try {
    return field->get<Value>();
  } catch (const json::type_error&) {
    ThrowWrongType(KeyOf(name), expected_type, *field);
  }
}

std::string JsonObject::Text(const char* name, const std::string& fallback) const {
  return Read(name, fallback, "string");
}

double JsonObject::Number(const char* name, double fallback) const { return Read(name, fallback, "number"); }

int JsonObject::Integer(const char* name, int fallback) const { return Read(name, fallback, "number"); }

}  // namespace copperpoint::proxy
