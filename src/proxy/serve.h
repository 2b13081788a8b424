// SPDX-License-Identifier: Apache-2.0
//
// Runs one proxy as a process: loads its configuration and handles its signals.
#ifndef COPPERPOINT_PROXY_SERVE_H_
#define COPPERPOINT_PROXY_SERVE_H_

#include <optional>
#include <string>

#include "log/log.h"
#include "proxy/config/config_reader.h"

namespace copperpoint::proxy {

struct ServeOptions {
  std::string operators_file;             // path; empty: none
  std::optional<log::Level> log_level;    // overrides the file's
  std::optional<log::Format> log_format;  // overrides the file's
};

// Returns the platform's configuration with the operator's settings, and sets `log` to the log settings in
// force. Throws ConfigError or config::InvalidFile.
Config Configure(const ServeOptions& options, Config platform, log::Settings* log);

// Serves until SIGTERM or SIGINT, and reloads the configuration on SIGHUP. Throws before it serves if the
// configuration is invalid or an address cannot be bound.
void Serve(const ServeOptions& options, const Environment& env);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_SERVE_H_
