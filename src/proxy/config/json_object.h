// SPDX-License-Identifier: Apache-2.0
//
// Reads the fields of a JSON object of the configuration; errors name the field's path.
#ifndef COPPERPOINT_PROXY_CONFIG_JSON_OBJECT_H_
#define COPPERPOINT_PROXY_CONFIG_JSON_OBJECT_H_

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace copperpoint::proxy {

// A view of one object; the JSON must outlive it. Text, Number and Integer return `fallback` for an absent
// field and throw ConfigError (kWrongType) for one of another type.
class JsonObject {
 public:
  // `path` of the object; empty for the root. Throws ConfigError (kWrongType) if `value` is not an object.
  JsonObject(const nlohmann::json& value, std::string path);

  // Returns null if the field is absent.
  const nlohmann::json* Find(const char* name) const;
  std::string Text(const char* name, const std::string& fallback) const;
  double Number(const char* name, double fallback) const;
  int Integer(const char* name, int fallback) const;

  // Returns the path of a field, such as "limits.sockets".
  std::string KeyOf(const std::string& name) const;

 private:
  template <typename Value>
  Value Read(const char* name, const Value& fallback, const char* expected_type) const;

  const nlohmann::json& value_;
  const std::string path_;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_CONFIG_JSON_OBJECT_H_
