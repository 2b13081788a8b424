// SPDX-License-Identifier: Apache-2.0
//
// The operator's file, as types: time limits, shares of the process's resources, logging and membership of
// one proxy. config::LoadFile (src/config/read.h) reads it; docs/configuration.md is its reference. The keys
// of the file have names of their own, which Describe maps to the fields.
#ifndef COPPERPOINT_PROXY_CONFIG_OPERATOR_SETTINGS_H_
#define COPPERPOINT_PROXY_CONFIG_OPERATOR_SETTINGS_H_

#include <chrono>
#include <cstdint>

#include "config/schema.h"
#include "log/log.h"
#include "proxy/membership/settings.h"

namespace copperpoint::proxy {

// Timeouts of connections and messages; `[patience]` in the file.
struct Timeouts {
  using Ms = std::chrono::milliseconds;

  // ---- clients ----
  Ms request_head{2500};  // from the connection's start, or the next request's first byte, to the last of
                          // its header
  Ms body_grace{1200};    // for a body, beyond the time that it takes at min_body_rate_bytes_per_s
  Ms keep_alive{90000};   // for a client's next request
  Ms idle_reclaim{2000};  // after which a connection with no request open may be closed ahead of need
  Ms idle_reclaim_under_pressure{250};  // the same of any idle connection, where another waits to be accepted
  Ms response_write{10000};             // for a client to read its response
  Ms lingering_close{1000};             // for a client to close after its connection was ended here

  // ---- backends ----
  Ms response_stall{100};                // without a byte of a response that is being buffered
  Ms body_stall{5000};                   // without a byte of a large body from or to a backend
  Ms reuse_delay{2};                     // before a connection to a backend is used again
  Ms removed_backend_retention{900000};  // after which the state of a removed backend is dropped

  void Describe(config::FieldVisitor& v);
};

// How the descriptors and the memory that the platform allows are divided; `[shares]` in the file.
struct ResourceShares {
  double client_descriptors = 0.6;  // fraction of the descriptors; backends have the rest
  double body_memory = 0.25;        // fraction of the memory, for clients' bodies
  // A larger body is streamed; so is a smaller one where memory is short.
  std::int64_t max_buffered_body_bytes = std::int64_t{1024} * 1024;
  std::int64_t min_body_rate_bytes_per_s = 48000;  // a client that sends its body more slowly is cut off
  // Retry-After of a response that a limit of this process causes.
  std::chrono::milliseconds process_limit_retry_after{1000};

  void Describe(config::FieldVisitor& v);
};

// While another process of the same proxy serves; `[upgrade]` in the file.
struct UpgradeTimeouts {
  std::chrono::milliseconds endpoint_list{1500};  // for discovery's first list
  std::chrono::milliseconds listener{1000};       // for the other process's listening socket

  void Describe(config::FieldVisitor& v);
};

struct OperatorSettings {
  log::Settings log;
  Timeouts timeouts;
  ResourceShares shares;
  UpgradeTimeouts upgrade;
  FleetSettings fleet;

  void Describe(config::FieldVisitor& v);
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_CONFIG_OPERATOR_SETTINGS_H_
