// SPDX-License-Identifier: Apache-2.0
//
// The HTML page of `copperpoint rollout history --html`.
#ifndef COPPERPOINT_CLI_ROLLOUT_REPORT_H_
#define COPPERPOINT_CLI_ROLLOUT_REPORT_H_

#include <nlohmann/json.hpp>
#include <string>

namespace copperpoint::cli {

// One self-contained HTML page of a change: its summary, a plot of how many members could have changed, and
// its decisions. `status` and `steps` are the JSON of the admin calls /rollout and /rollout/history.
std::string RolloutReport(const nlohmann::ordered_json& status, const nlohmann::ordered_json& steps);

}  // namespace copperpoint::cli

#endif  // COPPERPOINT_CLI_ROLLOUT_REPORT_H_
