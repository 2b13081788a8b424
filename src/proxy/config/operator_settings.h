// SPDX-License-Identifier: Apache-2.0
//
// The operator's file: what staff may set of one proxy. The platform's JSON (config.h) says what the proxy is
// and what it may use; this file says how patient it is and how it logs. docs/configuration.md is its
// reference.
#ifndef COPPERPOINT_PROXY_CONFIG_OPERATOR_SETTINGS_H_
#define COPPERPOINT_PROXY_CONFIG_OPERATOR_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "config/schema.h"
#include "log/log.h"
#include "proxy/membership/settings.h"

namespace copperpoint::proxy {

// Timeouts of connections and messages.
struct Timeouts {
  using Ms = std::chrono::milliseconds;
  Ms request_head{2500};  // from a connection's start, or a next request's first byte, to its head's last
  Ms body_grace{1200};    // for a body, beyond what it takes at the least rate
  Ms keep_alive{90000};   // for a client's next request
  Ms idle_reclaim{2000};  // after which a connection with no request open may be closed ahead of need
  Ms pressed_idle_reclaim{250};  // the same of any idle connection, where another waits to be accepted
  Ms response_write{10000};      // for a client to read its response
  Ms lingering_close{1000};      // for a client to close once its connection has been ended here
  Ms response_stall{100};        // without a byte of a response that is being buffered
  Ms body_stall{5000};           // without a byte of a large body from or to a backend
  Ms connection_rest{2};         // before a connection to a backend is used again
  Ms removed_backend_retention{900000};  // after which the state of a removed backend is dropped

  void Describe(config::Visitor& v);
};

// How the descriptors and the memory that the platform allows are divided.
struct ResourceShares {
  double client_descriptors = 0.6;  // of the descriptors; backends have the rest
  double body_memory = 0.25;        // of the memory, for clients' bodies
  std::int64_t max_buffered_body_bytes =
      1024 * 1024;  // bytes of a request's body that are buffered completely, where memory allows
  std::int64_t min_body_rate_bytes_per_s = 48000;  // bytes a second
  std::chrono::milliseconds process_limit_retry_after{
      1000};  // Retry-After where a limit of this process is reached

  void Describe(config::Visitor& v);
};

// While another process of the same proxy serves.
struct UpgradeTimeouts {
  std::chrono::milliseconds endpoint_list{1500};  // for discovery's first answer
  std::chrono::milliseconds listener{1000};       // for the other process's

  void Describe(config::Visitor& v);
};

struct OperatorSettings {
  log::Settings log;
  Timeouts timeouts;
  ResourceShares shares;
  UpgradeTimeouts upgrade;
  FleetSettings fleet;

  void Describe(config::Visitor& v);
};

// The page docs/configuration.md, whole.
std::string ConfigurationReference();

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_CONFIG_OPERATOR_SETTINGS_H_
