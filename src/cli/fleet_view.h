// SPDX-License-Identifier: Apache-2.0
//
// `copperpoint fleet show` and `fleet check`: the view that proxies have of their fleet.
#ifndef COPPERPOINT_CLI_FLEET_VIEW_H_
#define COPPERPOINT_CLI_FLEET_VIEW_H_

#include <CLI/App.hpp>

namespace copperpoint::cli {

void AddFleetView(CLI::App& fleet, int* exit_code);

}  // namespace copperpoint::cli

#endif  // COPPERPOINT_CLI_FLEET_VIEW_H_
