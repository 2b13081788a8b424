// SPDX-License-Identifier: Apache-2.0
//
// Reads what `[fleet]` refers to: the key file and the file of seeds. All functions throw ConfigError, with
// the file where there is one, if it cannot be used.
#ifndef COPPERPOINT_PROXY_MEMBERSHIP_SETTINGS_LOADER_H_
#define COPPERPOINT_PROXY_MEMBERSHIP_SETTINGS_LOADER_H_

#include <boost/asio/ip/udp.hpp>
#include <string>
#include <vector>

#include "peers/frame.h"
#include "proxy/membership/settings.h"

namespace copperpoint::proxy {

// The codec of the members' frames, by the cluster's name and the key. The key file must not be accessible
// to other users.
peers::FrameCodec LoadFrameCodec(const FleetSettings& settings);

// The seeds of the operator's file, then those of the file of seeds, whose empty lines and lines that begin
// with '#' are skipped. Throws config::InvalidFile if that file can't be read.
std::vector<std::string> LoadSeeds(const FleetSettings& settings);

boost::asio::ip::udp::endpoint ParseListenAddress(const FleetSettings& settings);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_MEMBERSHIP_SETTINGS_LOADER_H_
