// SPDX-License-Identifier: Apache-2.0
//
// Reads and checks the platform's configuration: a JSON file, and environment variables that override its
// values.
#ifndef COPPERPOINT_PROXY_CONFIG_CONFIG_READER_H_
#define COPPERPOINT_PROXY_CONFIG_CONFIG_READER_H_

#include <functional>
#include <string_view>

#include "proxy/config/config.h"
#include "proxy/config/config_error.h"

namespace copperpoint::proxy {

// Returns the value of an environment variable; null if it is not set.
using Environment = std::function<const char*(const char* name)>;

// Reads the configuration from the file's text. All three functions throw ConfigError at the first fault; the
// operator's part of the result has its defaults.
Config ParseConfig(std::string_view text, const Environment& env);

// Reads the file that ROUTER_CONFIG names; errors name that file.
Config LoadConfig(const Environment& env);

// Reads the file again in a running process. The other environment variables are ignored: they are as they
// were at the start of the process, and the file may have been replaced since.
Config ReloadConfig(const Environment& env);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_CONFIG_CONFIG_READER_H_
