// SPDX-License-Identifier: Apache-2.0
#include "proxy/config/config_reader.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "proxy/config/json_object.h"
#include "proxy/config/settings_reader.h"

namespace copperpoint::proxy {
namespace {

using nlohmann::json;
using Kind = ConfigError::Kind;
using Tcp = boost::asio::ip::tcp;

constexpr double kMinMemoryMb = 8;
constexpr int kMinSockets = 64;
constexpr int kSeedBase = 16;

bool IsSet(const char* variable) { return variable && *variable; }

// Reads an address from `variable`, the value of an environment variable, or else from the field.
Tcp::endpoint ReadAddress(const char* variable, const JsonObject& root, const char* name) {
  const std::string text = IsSet(variable) ? variable : root.Text(name, "");
  const auto endpoint = ParseHostPort(text);
  if (!endpoint)
    throw ConfigError(Kind::kInvalid, {.key = name},
                      std::string(name) + ": must be ADDRESS:PORT, but is '" + text + "'");
  return *endpoint;
}

// Returns nothing if the file has no valid address: it is not needed where the environment has one.
std::optional<Tcp::endpoint> DiscoveryInFile(const JsonObject& root) {
  const json* field = root.Find("discovery");
  if (!field || !field->is_string()) return std::nullopt;
  return ParseHostPort(field->get<std::string>());
}

std::uint64_t ReadSeed(const JsonObject& root) {
  const json* field = root.Find("seed");
  if (!field)
    throw ConfigError(Kind::kMissing, {.key = "seed"},
                      "seed is missing; it must be an unsigned integer or a hexadecimal string");
  if (field->is_number_unsigned()) return field->get<std::uint64_t>();
  const std::string text = field->is_string() ? field->get<std::string>() : "";
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, kSeedBase);
  if (text.empty() || error != std::errc() || end != text.data() + text.size())
    throw ConfigError(
        Kind::kInvalid, {.key = "seed"},
        "seed: must be an unsigned integer or a hexadecimal string of at most 64 bits, but is " +
            field->dump());
  return seed;
}

void ReadLimits(const JsonObject& root, Config* config) {
  if (const json* field = root.Find("limits")) {
    const JsonObject limits(*field, "limits");
    config->sockets = limits.Integer("sockets", config->sockets);
    config->memory_mb = limits.Number("memory_mb", config->memory_mb);
  }
  if (!(config->memory_mb >= kMinMemoryMb))
    throw ConfigError(Kind::kOutOfRange, {.key = "limits.memory_mb"},
                      "limits.memory_mb: must be at least " + json(kMinMemoryMb).dump() + ", but is " +
                          json(config->memory_mb).dump());
  if (config->sockets < kMinSockets)
    throw ConfigError(Kind::kOutOfRange, {.key = "limits.sockets"},
                      "limits.sockets: must be at least " + std::to_string(kMinSockets) + ", but is " +
                          std::to_string(config->sockets));
}

EndpointList ReadInitialEndpoints(const JsonObject& root) {
  const json* field = root.Find("known");
  if (!field || field->is_null()) return {};
  EndpointListError error;
  auto list = ParseEndpointList(*field, &error);
  if (list) return std::move(*list);
  const std::string path = error.FieldPath();
  throw ConfigError(
      Kind::kInvalid, {.key = path.empty() ? "known" : "known." + path},
      "known" + (path.empty() ? "" : "." + path) + ": invalid endpoint list: " + error.Describe());
}

const json& RequireSettings(const json& root) {
  try {
    return root.at("settings");
  } catch (const json::out_of_range& error) {
    throw ConfigError(Kind::kMissing, {.key = "settings"}, error.what());
  }
}

Config ReadConfig(const json& json_root, const Environment& env) {
  const JsonObject root(json_root, "");
  Config config;
  const char* name = env("ROUTER_NAME");
  config.name = IsSet(name) ? name : root.Text("name", "");
  config.listen = ReadAddress(env("ROUTER_LISTEN"), root, "listen");
  config.discovery = ReadAddress(env("ROUTER_DISCOVERY"), root, "discovery");
  config.discovery_in_file = DiscoveryInFile(root);
  const char* admin_address = env("ROUTER_OPERATOR");
  if (IsSet(admin_address) || root.Find("operator"))
    config.admin_address = ReadAddress(admin_address, root, "operator");
  const char* state_directory = env("TMPDIR");
  if (IsSet(state_directory)) config.state_directory = state_directory;
  config.seed = ReadSeed(root);
  ReadLimits(root, &config);
  ReadSettings(RequireSettings(json_root), &config);
  config.initial_endpoints = ReadInitialEndpoints(root);
  return config;
}

ConfigError SyntaxError(std::string_view text, std::size_t byte) {
  const std::string_view before = text.substr(0, byte > 0 ? byte - 1 : 0);
  ConfigLocation location;
  location.line = static_cast<int>(std::count(before.begin(), before.end(), '\n')) + 1;
  location.column = static_cast<int>(before.size() - (before.rfind('\n') + 1)) + 1;
  return {Kind::kSyntax, std::move(location), "the configuration is not valid JSON"};
}

}  // namespace

Config ParseConfig(std::string_view text, const Environment& env) {
  json root;
  try {
    root = json::parse(text);
  } catch (const json::parse_error& error) {
    throw SyntaxError(text, error.byte);
  } catch (const json::exception& error) {  // such as a number that is too large
    throw ConfigError(Kind::kOutOfRange, {}, error.what());
  }
  if (!root.is_object())
    throw ConfigError(Kind::kWrongType, {},
                      std::string("the configuration must be a JSON object, but is ") + root.type_name());
  return ReadConfig(root, env);
}

Config LoadConfig(const Environment& env) {
  const char* path = env("ROUTER_CONFIG");
  if (!IsSet(path))
    throw ConfigError(Kind::kMissing, {}, "ROUTER_CONFIG is not set; it must name the configuration file");
  const Steady::time_point read_at = Steady::now();
  std::ifstream file(path, std::ios::binary);
  if (!file) throw ConfigError(Kind::kUnreadableFile, {}, "cannot read ROUTER_CONFIG: " + std::string(path));
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  try {
    Config config = ParseConfig(text, env);
    config.file_read_at = read_at;
    return config;
  } catch (const ConfigError& error) {
    throw error.InFile(path);
  }
}

Config ReloadConfig(const Environment& env) {
  return LoadConfig([&](const char* name) -> const char* {
    return std::string_view(name) == "ROUTER_CONFIG" ? env(name) : nullptr;
  });
}

}  // namespace copperpoint::proxy
