// SPDX-License-Identifier: Apache-2.0
//
// The membership as one proxy sees it, read from its admin interface.
#ifndef COPPERPOINT_CLI_FLEET_VIEW_H_
#define COPPERPOINT_CLI_FLEET_VIEW_H_

#include <nlohmann/json.hpp>
#include <string>

namespace copperpoint::cli {

// Returns the response to GET /fleet of the proxy whose admin interface is at `address`. Throws
// std::invalid_argument if `address` is not ADDRESS:PORT, std::runtime_error, one line, on any other failure.
nlohmann::json GetFleetView(const std::string& address);

}  // namespace copperpoint::cli

#endif  // COPPERPOINT_CLI_FLEET_VIEW_H_
