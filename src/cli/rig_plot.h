// SPDX-License-Identifier: Apache-2.0
#ifndef COPPERPOINT_CLI_RIG_PLOT_H_
#define COPPERPOINT_CLI_RIG_PLOT_H_

#include <CLI/App.hpp>

namespace copperpoint::cli {

void AddRigPlot(CLI::App* group);

}  // namespace copperpoint::cli

#endif  // COPPERPOINT_CLI_RIG_PLOT_H_
