// SPDX-License-Identifier: Apache-2.0
//
// The operator's file: what staff may set of one proxy. The platform's JSON (config.h) says what the proxy is
// and what it may use; this file says how patient it is and how it logs. docs/configuration.md is its
// reference.
#ifndef COPPERPOINT_PROXY_CONFIG_OPERATING_H_
#define COPPERPOINT_PROXY_CONFIG_OPERATING_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "config/schema.h"
#include "log/log.h"
#include "proxy/membership/settings.h"

namespace copperpoint::proxy {

// How long things are waited for.
struct Patience {
  using Ms = std::chrono::milliseconds;
  Ms whole_request{2500};  // from a connection's start, or a next request's first byte, to its head's last
  Ms body_grace{1200};     // for a body, beyond what it takes at the least rate
  Ms kept{90000};          // for a client's next request
  Ms spare{2000};          // after which a connection with no request open may be closed ahead of need
  Ms silent{250};          // the same of any that rests, where another waits to be accepted
  Ms answer_taken{10000};  // for a client to take its answer
  Ms lingering{1000};      // for a client to close once its connection has been ended here
  Ms answer_whole{100};    // without a byte of an answer that has begun and is held whole
  Ms stalled{5000};        // without a byte of a large body from or to a backend
  Ms rest{2};              // before a connection to a backend is used again
  Ms forgotten{900000};    // after which nothing is known of a backend that has gone

  void Describe(config::Visitor& v);
};

// How the means that the platform allows are divided.
struct Shares {
  double clients = 0.6;                  // of the descriptors; backends have the rest
  double bodies = 0.25;                  // of the memory, for clients' bodies
  std::int64_t kept_body = 1024 * 1024;  // bytes of a request's body that are held whole, where there is room
  std::int64_t least_body_rate = 48000;  // bytes a second
  std::chrono::milliseconds refusal{1000};  // Retry-After where this process itself lacks the means

  void Describe(config::Visitor& v);
};

// While another process of the same proxy serves.
struct Upgrade {
  std::chrono::milliseconds list{1500};      // for discovery's first answer
  std::chrono::milliseconds listener{1000};  // for the other process's

  void Describe(config::Visitor& v);
};

struct Operating {
  log::Settings log;
  Patience patience;
  Shares shares;
  Upgrade upgrade;
  FleetSettings fleet;

  void Describe(config::Visitor& v);
};

// The page docs/configuration.md, whole.
std::string ConfigurationPage();

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_CONFIG_OPERATING_H_
