// SPDX-License-Identifier: Apache-2.0
//
// Reads the object `settings` of the platform's configuration. Its nested keys correspond to the dotted keys
// of the simulator's wire; the adapter's parser (src/adapter/settings.h) reads both.
#ifndef COPPERPOINT_PROXY_CONFIG_SETTINGS_READER_H_
#define COPPERPOINT_PROXY_CONFIG_SETTINGS_READER_H_

#include <nlohmann/json_fwd.hpp>

#include "proxy/config/config.h"

namespace copperpoint::proxy {

// Sets the Balancer's settings, the names by index and the timeouts of backend connections. Unknown keys are
// ignored. Throws ConfigError with a key that begins with "settings.".
void ReadSettings(const nlohmann::json& settings, Config* config);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_CONFIG_SETTINGS_READER_H_
