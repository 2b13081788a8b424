// SPDX-License-Identifier: Apache-2.0
//
// The configuration of one proxy, from the platform's JSON and environment and from the operator's file.
#ifndef COPPERPOINT_PROXY_CONFIG_CONFIG_H_
#define COPPERPOINT_PROXY_CONFIG_CONFIG_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "copperpoint/balancer.h"
#include "proxy/clock.h"
#include "proxy/config/operator_settings.h"
#include "proxy/discovery/endpoints.h"

namespace copperpoint::proxy {

struct Config {
  // ---- from the platform: config_reader.h ----
  std::string name;
  boost::asio::ip::tcp::endpoint listen, discovery;
  // The file's address of discovery, which goes before the environment's once a reload has moved discovery.
  std::optional<boost::asio::ip::tcp::endpoint> discovery_in_file;
  Steady::time_point file_read_at{};                            // just before the file was opened
  std::optional<boost::asio::ip::tcp::endpoint> admin_address;  // nothing: no admin interface
  std::string state_directory;  // private to this proxy's processes; empty: nothing is stored
  std::uint64_t seed = 0;
  int sockets = 1024;       // descriptors that the process may hold
  double memory_mb = 2048;  // memory that the process may use
  Settings settings;
  std::vector<std::string> classes, tenants, zones, kinds;  // names by index
  Duration connect_timeout{250};
  Duration backend_idle_timeout{15000};  // backends close a connection that is idle for this long
  EndpointList initial_endpoints;        // listed by the platform, for use until discovery has responded

  // ---- from the operator's file: operator_settings.h ----
  Timeouts timeouts;
  ResourceShares shares;
  UpgradeTimeouts upgrade;
  FleetSettings fleet;
  std::string operator_settings_version;  // hash of the operator's file, for the other members; empty: none
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_CONFIG_CONFIG_H_
