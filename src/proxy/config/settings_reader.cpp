// SPDX-License-Identifier: Apache-2.0
#include "proxy/config/settings_reader.h"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "adapter/settings.h"
#include "proxy/config/config_error.h"
#include "proxy/config/json_object.h"

namespace copperpoint::proxy {
namespace {

using nlohmann::json;
using Kind = ConfigError::Kind;

constexpr char kPath[] = "settings";
constexpr char kPermissionsPath[] = "settings.permissions";

// Returns a value as the simulator's wire has it, with underscores for white space and commas.
std::string WireValue(const json& value) {
  std::string text = value.is_string() ? value.get<std::string>() : value.dump();
  std::replace_if(
      text.begin(), text.end(), [](unsigned char c) { return std::isspace(c) || c == ','; }, '_');
  return text;
}

// Appends `value` as the path=value lines of the simulator's wire.
void AppendWireLines(const json& value, const std::string& path, std::string* lines) {
  const std::string prefix = path.empty() ? "" : path + ".";
  if (value.is_object()) {
    for (const auto& [name, inner] : value.items()) AppendWireLines(inner, prefix + name, lines);
  } else if (value.is_array() && !value.empty() && value.front().is_structured()) {
    *lines += prefix + "count=" + std::to_string(value.size()) + '\n';
    for (std::size_t i = 0; i < value.size(); ++i)
      AppendWireLines(value[i], prefix + std::to_string(i), lines);
  } else if (value.is_array()) {
    std::string joined;
    for (const json& item : value) {
      if (!joined.empty()) joined += ',';
      joined += WireValue(item);
    }
    *lines += path + '=' + joined + '\n';
  } else if (!value.is_null()) {
    *lines += path + '=' + WireValue(value) + '\n';
  }
}

Kind KindOf(adapter::BadSettings::Kind kind) {
  switch (kind) {
    case adapter::BadSettings::Kind::kAbsent:
      return Kind::kMissing;
    case adapter::BadSettings::Kind::kNotANumber:
    case adapter::BadSettings::Kind::kNotAWholeNumber:
      return Kind::kWrongType;
    case adapter::BadSettings::Kind::kOutOfRange:
      return Kind::kOutOfRange;
    case adapter::BadSettings::Kind::kUnknownWord:
      return Kind::kInvalid;
  }
  return Kind::kInvalid;
}

Settings ParseWireLines(const std::string& lines) {
  try {
    return adapter::ParseSettings(lines);
  } catch (const adapter::BadSettings& error) {
    throw ConfigError(KindOf(error.kind()), {.key = std::string(kPath) + '.' + error.key()}, error.what());
  }
}

// Returns the names in a list whose items are objects with a name, or the names themselves.
std::vector<std::string> ReadNames(const json& settings, const std::string& name) {
  std::vector<std::string> names;
  const auto list = settings.find(name);
  if (list == settings.end() || !list->is_array()) return names;
  for (const json& item : *list) {
    const std::string path = std::string(kPath) + '.' + name + '.' + std::to_string(names.size());
    names.push_back(item.is_object() ? JsonObject(item, path).Text("name", "") : WireValue(item));
  }
  return names;
}

void ReadPermissions(const json& field, Config* config) {
  const JsonObject permissions(field, kPermissionsPath);
  config->connect_timeout = Duration(permissions.Number("connectTimeoutMs", config->connect_timeout.count()));
  config->backend_idle_timeout =
      Duration(permissions.Number("connIdleMs", config->backend_idle_timeout.count()));
  // `retryAfter`, which is about the simulator's clients, is ignored: any HTTP response can carry
  // Retry-After, and a client that receives none retries at once.
  config->settings.max_retry_after =
      std::max(Duration(0), Duration(permissions.Number("maxRetryAfterMs", 0.0)));
}

void CheckTimeouts(const Config& config) {
  const bool connect = config.connect_timeout.count() > 0;
  if (connect && config.backend_idle_timeout.count() > 0) return;
  const std::string key = std::string(kPermissionsPath) + (connect ? ".connIdleMs" : ".connectTimeoutMs");
  const Duration timeout = connect ? config.backend_idle_timeout : config.connect_timeout;
  throw ConfigError(Kind::kOutOfRange, {.key = key},
                    key + ": must be over 0, but is " + json(timeout.count()).dump());
}

}  // namespace

void ReadSettings(const json& settings, Config* config) {
  std::string lines;
  AppendWireLines(settings, "", &lines);
  config->settings = ParseWireLines(lines);
  config->classes = ReadNames(settings, "classes");
  config->tenants = ReadNames(settings, "tenants");
  config->zones = ReadNames(settings, "zones");
  config->kinds = ReadNames(settings, "kinds");
  if (const auto permissions = settings.find("permissions"); permissions != settings.end())
    ReadPermissions(*permissions, config);
  CheckTimeouts(*config);
}

}  // namespace copperpoint::proxy
