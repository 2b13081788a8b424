// SPDX-License-Identifier: Apache-2.0
//
// The message by which a process of a proxy tells its successor where a reload has moved discovery. The
// successor's environment still names the address of the first start.
#ifndef COPPERPOINT_PROXY_HANDOVER_DISCOVERY_RELOAD_MESSAGE_H_
#define COPPERPOINT_PROXY_HANDOVER_DISCOVERY_RELOAD_MESSAGE_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

#include "proxy/clock.h"

namespace copperpoint::proxy {

// A reload of the configuration, and the address of discovery in it.
struct DiscoveryReload {
  boost::asio::ip::tcp::endpoint address;
  Steady::time_point reloaded_at;
};

std::string EncodeDiscoveryReload(const DiscoveryReload& reload);
// Returns nothing if the text is no such message, or its address or its time is not valid.
std::optional<DiscoveryReload> DecodeDiscoveryReload(const std::string& text);

}  // namespace copperpoint::proxy

#endif  // COPPERPOINT_PROXY_HANDOVER_DISCOVERY_RELOAD_MESSAGE_H_
