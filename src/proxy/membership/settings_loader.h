// SPDX-License-Identifier: Apache-2.0
//
// Reads the files that `[fleet]` names: the key file and the file of seeds. All functions throw ConfigError,
// with the file if there is one, if a value cannot be used.
#ifndef COPPERPOINT_PROXY_MEMBERSHIP_SETTINGS_LOADER_H_
#define COPPERPOINT_PROXY_MEMBERSHIP_SETTINGS_LOADER_H_

#include <boost/asio/ip/udp.hpp>
#include <string>
#include <vector>

#include "peers/frame.h"
#include "proxy/membership/settings.h"

namespace copperpoint::proxy {

// Returns the codec of the members' frames for the cluster's name and the key. The key file must not be
// accessible to other users.
peers::FrameCodec LoadFrameCodec(const FleetSettings& settings);

// Returns the seeds of the operator's file, then those of the file of seeds, whose empty lines and lines that
// begin with '#' are skipped. Throws config::InvalidFile if that file cannot be read.
std::vector<std::string> LoadSeeds(const FleetSettings& settings);

boost::asio::ip::udp::endpoint ParseListenAddress(const FleetSettings& settings);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_MEMBERSHIP_SETTINGS_LOADER_H_
