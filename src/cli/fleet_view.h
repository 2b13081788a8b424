// SPDX-License-Identifier: Apache-2.0
//
// The membership as one proxy sees it, read from its admin interface.
#ifndef COPPERPOINT_CLI_FLEET_VIEW_H_
#define COPPERPOINT_CLI_FLEET_VIEW_H_

#include <nlohmann/json.hpp>
#include <string>

namespace copperpoint::cli {

// The answer of the proxy whose admin interface is at `address` to GET /fleet. Throws std::invalid_argument
// if `address` is not ADDRESS:PORT, std::runtime_error, one line, if there is no such answer.
nlohmann::json GetFleetView(const std::string& address);

}  // namespace copperpoint::cli

#endif  // COPPERPOINT_CLI_FLEET_VIEW_H_
