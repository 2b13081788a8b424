// SPDX-License-Identifier: Apache-2.0
//
// Reads and checks the platform's configuration: a JSON file, and variables of the environment that go before
// it.
#ifndef COPPERPOINT_PROXY_CONFIG_CONFIG_READER_H_
#define COPPERPOINT_PROXY_CONFIG_CONFIG_READER_H_

#include <functional>
#include <string_view>

#include "proxy/config/config.h"
#include "proxy/config/config_error.h"

namespace copperpoint::proxy {

// The value of a variable; null if it is not set.
using Environment = std::function<const char*(const char* name)>;

// `text` is the configuration file. All three throw ConfigError at the first fault; the operator's part of
// the result has its defaults.
Config ParseConfig(std::string_view text, const Environment& env);

// Reads the file that ROUTER_CONFIG names, which errors name too.
Config LoadConfig(const Environment& env);

// The same for a running process. Of the environment, which is that of its start, only ROUTER_CONFIG counts:
// the file may have been replaced since.
Config ReloadConfig(const Environment& env);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_CONFIG_CONFIG_READER_H_
