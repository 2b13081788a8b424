// SPDX-License-Identifier: Apache-2.0
//
// The keys of `[fleet]` in the operator's file: whether this proxy is a member of a fleet, and the addresses
// at which the members communicate.
#ifndef COPPERPOINT_PROXY_MEMBERSHIP_SETTINGS_H_
#define COPPERPOINT_PROXY_MEMBERSHIP_SETTINGS_H_

#include <string>
#include <vector>

#include "config/schema.h"

namespace copperpoint::proxy {

struct FleetSettings {
  std::string cluster;             // the fleet's name; empty: this proxy is not a member of one
  std::string listen;              // ADDRESS:PORT, UDP and TCP
  std::string advertise;           // ADDRESS:PORT at which others reach this proxy; empty: `listen`
  std::vector<std::string> seeds;  // ADDRESS:PORT of members through which to join
  std::string seeds_file;          // path of a file with further seeds, one a line
  std::string key_file;            // path of the members' shared secret, 16 to 64 bytes, mode 0600
  bool subsets = true;  // this proxy's ring offset follows from the membership; false: from its own number

  bool on() const { return !cluster.empty(); }
  void Describe(config::FieldVisitor& v);
};

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_MEMBERSHIP_SETTINGS_H_
