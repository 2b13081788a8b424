// SPDX-License-Identifier: Apache-2.0
#include "proxy/config/config_error.h"

#include <utility>

namespace copperpoint::proxy {
namespace {

// Returns "FILE: ", "FILE:LINE: " or "FILE: LINE:COLUMN: ", without the parts that are unknown.
std::string Prefix(const ConfigLocation& location) {
  std::string prefix = location.file;
  if (location.line > 0) {
    if (!prefix.empty()) prefix += location.column > 0 ? ": " : ":";
    prefix += std::to_string(location.line);
    if (location.column > 0) prefix += ':' + std::to_string(location.column);
  }
  return prefix.empty() ? prefix : prefix + ": ";
}

}  // namespace

ConfigError::ConfigError(Kind kind, ConfigLocation location, const std::string& message)
    : std::runtime_error(Prefix(location) + message),
      kind_(kind),
      location_(std::move(location)),
      message_(message) {}

ConfigError ConfigError::InFile(const std::string& file) const {
  ConfigLocation location = location_;
  location.file = file;
  return {kind_, std::move(location), message_};
}

}  // namespace copperpoint::proxy
