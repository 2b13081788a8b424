// SPDX-License-Identifier: Apache-2.0
//
// The settings in the operator's file: time limits, shares of the process's resources, logging and membership
// of one proxy. config::LoadFile (src/config/read.h) reads the file; docs/configuration.md is its reference.
// Describe maps the keys of the file to the fields, whose names differ from the keys.
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
  Ms request_head{2500};  // for a request's header, from the connection's start or, for later requests, the
                          // header's first byte
  Ms body_grace{1200};    // for a request's body, beyond the time it takes at min_body_rate_bytes_per_s
  Ms keep_alive{90000};   // for a client to begin its next request
  Ms idle_reclaim{2000};  // after which a connection with no request open may be closed ahead of need
  Ms idle_reclaim_under_pressure{250};  // the same for any idle connection while another waits to be accepted
  Ms response_write{10000};             // for a client to read its response
  Ms lingering_close{1000};             // for a client to close after the proxy has ended its side

  // ---- backends ----
  Ms response_header_stall{600};         // without a byte of a response's header
  Ms response_stall{100};                // without a byte of a response that is being buffered
  Ms response_buffering{250};            // for buffering a response of unknown length before it is streamed
  Ms body_stall{5000};                   // without a byte of a large body from or to a backend
  Ms reuse_delay{2};                     // before a backend connection is used again
  Ms removed_backend_retention{900000};  // after which the state of a removed backend is dropped

  void Describe(config::FieldVisitor& v);
};

// How the descriptors and the memory that the platform allows are divided; `[shares]` in the file.
struct ResourceShares {
  double client_descriptors = 0.6;  // fraction of the descriptors; backends have the rest
  double body_memory = 0.25;        // fraction of the memory, for clients' bodies
  double buffer_memory = 0.25;      // fraction of the memory, for other parts of messages in transit
  // A larger body is streamed; so is a smaller one where memory is short.
  std::int64_t max_buffered_body_bytes = std::int64_t{1024} * 1024;
  std::int64_t min_body_rate_bytes_per_s = 48000;  // a client that sends its body more slowly is cut off
  // Retry-After of a rejection because of a limit of this process.
  std::chrono::milliseconds process_limit_retry_after{1000};

  void Describe(config::FieldVisitor& v);
};

// Timeouts while another process of the same proxy serves; `[upgrade]` in the file.
struct UpgradeTimeouts {
  std::chrono::milliseconds endpoint_list{1500};  // for discovery's first list, before the takeover
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
