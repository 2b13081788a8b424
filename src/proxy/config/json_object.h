// SPDX-License-Identifier: Apache-2.0
//
// Reads fields of a JSON object of the configuration; an error names the field's path.
#ifndef COPPERPOINT_PROXY_CONFIG_JSON_OBJECT_H_
#define COPPERPOINT_PROXY_CONFIG_JSON_OBJECT_H_

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace copperpoint::proxy {

// A view of one object; the JSON must outlive it. Each reader returns `fallback` for an absent field, and
// throws ConfigError (kWrongType) for one of another type, or if the value is no object.
class JsonObject {
 public:
  // `path` of the object; empty for the root.
  JsonObject(const nlohmann::json& value, std::string path);

  // Null if the field is absent.
  const nlohmann::json* Find(const char* name) const;
  std::string Text(const char* name, const std::string& fallback) const;
  double Number(const char* name, double fallback) const;
  int Integer(const char* name, int fallback) const;

  // The path of a field: "limits.sockets".
  std::string KeyOf(const std::string& name) const;

 private:
  template <typename Value>
  Value Read(const char* name, const Value& fallback, const char* expected_type) const;

  const nlohmann::json& value_;
  const std::string path_;
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_CONFIG_JSON_OBJECT_H_
