// SPDX-License-Identifier: Apache-2.0
//
// The keys of `[fleet]` in the operator's file: whether and how this proxy talks to others.
#ifndef COPPERPOINT_PROXY_MEMBERSHIP_SETTINGS_H_
#define COPPERPOINT_PROXY_MEMBERSHIP_SETTINGS_H_

#include <string>
#include <vector>

#include "config/schema.h"

namespace copperpoint::proxy {

struct FleetSettings {
  std::string cluster;             // empty: this proxy talks to no other
  std::string listen;              // ADDRESS:PORT, UDP and TCP
  std::string advertise;           // as others reach it; empty: `listen`
  std::vector<std::string> seeds;  // ADDRESS:PORT of members to ask first
  std::string seeds_file;          // more of them, a line each
  std::string key_file;            // 16 to 64 bytes that all members share, mode 0600

  bool subsets = true;  // the view tells this proxy which backends to keep to

  bool on() const { return !cluster.empty(); }
  void Describe(config::Visitor& v);
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_MEMBERSHIP_SETTINGS_H_
