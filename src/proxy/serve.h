// SPDX-License-Identifier: Apache-2.0
//
// One proxy as a process: its configuration, its signals, its end.
#ifndef COPPERPOINT_PROXY_SERVE_H_
#define COPPERPOINT_PROXY_SERVE_H_

#include <optional>
#include <string>

#include "log/log.h"
#include "proxy/config/config_reader.h"

namespace copperpoint::proxy {

struct ServeOptions {
  std::string operators_file;           // empty: none
  std::optional<log::Level> log_level;  // before the file's
  std::optional<log::Format> log_format;
};

// The platform's configuration with the operator's in it. Throws ConfigError or config::InvalidFile.
Config Configure(const ServeOptions& options, Config platform, log::Settings* log);

// Serves until SIGTERM or SIGINT; reloads on SIGHUP. Throws, before it serves, on what is wrong with its
// configuration or its addresses.
void Serve(const ServeOptions& options, const Environment& env);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_SERVE_H_
