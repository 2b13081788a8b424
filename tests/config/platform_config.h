// SPDX-License-Identifier: Apache-2.0
//
// A valid platform configuration for tests to modify, and the error of an invalid one.
#ifndef COPPERPOINT_TESTS_CONFIG_PLATFORM_CONFIG_H_
#define COPPERPOINT_TESTS_CONFIG_PLATFORM_CONFIG_H_

#include <gtest/gtest.h>

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "proxy/config/config_reader.h"

namespace copperpoint::testing {

inline nlohmann::json ValidConfig() {
  return nlohmann::json::parse(R"({
    "name": "n1", "listen": "127.0.0.1:80", "discovery": "127.0.0.1:81", "seed": "8c1f30d27a5be964",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "known": {"revision": 41, "members": [
      {"id": "s-1", "phase": "in_service", "host_port": "127.0.0.1:82"}]},
    "settings": {
      "balancers": 2, "me": 1, "zone": 0, "zones": ["a", "b c"], "kinds": ["m"],
      "classes": [{"name": "look", "effect": "read_like", "goalTimeMs": 100, "deadlineMs": 1000}],
      "tenants": [{"name": "t", "quotaPerS": 5}],
      "permissions": {"maxAttempts": 4, "connIdleMs": 60000.0, "connectTimeoutMs": 200.0,
                      "maxRetryAfterMs": 30.0, "retryAfter": false},
      "rules": {"coldFrom": 0.2, "warmUpMs": 1000.0, "fallMultiple": 3.0, "overloadForMs": 1000.0}}})");
}

using Variables = std::map<std::string, std::string>;

inline proxy::Environment EnvironmentOf(const Variables& variables) {
  return [variables](const char* name) -> const char* {
    const auto found = variables.find(name);
    return found == variables.end() ? nullptr : found->second.c_str();
  };
}

inline proxy::Config Parse(const std::string& text, const Variables& variables = {}) {
  return proxy::ParseConfig(text, EnvironmentOf(variables));
}

inline proxy::ConfigError ErrorOf(const std::string& text) {
  try {
    Parse(text);
  } catch (const proxy::ConfigError& error) {
    return error;
  }
  ADD_FAILURE() << "accepted: " << text;
  return {proxy::ConfigError::Kind::kInvalid, {}, ""};
}

// The valid configuration with `value` at a JSON pointer.
inline std::string With(const std::string& pointer, const nlohmann::json& value) {
  auto config = ValidConfig();
  config[nlohmann::json::json_pointer(pointer)] = value;
  return config.dump();
}
// The valid configuration without `key` of the object at a JSON pointer.
inline std::string Without(const std::string& object, const std::string& key) {
  auto config = ValidConfig();
  EXPECT_EQ(config[nlohmann::json::json_pointer(object)].erase(key), 1u) << object << ' ' << key;
  return config.dump();
}

inline void ExpectError(const std::string& text, proxy::ConfigError::Kind kind, const std::string& key,
                        const std::string& message) {
  const proxy::ConfigError error = ErrorOf(text);
  EXPECT_EQ(error.kind(), kind) << message;
  EXPECT_EQ(error.location().key, key);
  EXPECT_EQ(error.what(), message);
}

}  // namespace copperpoint::testing

#endif  // COPPERPOINT_TESTS_CONFIG_PLATFORM_CONFIG_H_
