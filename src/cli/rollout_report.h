// SPDX-License-Identifier: Apache-2.0
#ifndef COPPERPOINT_CLI_ROLLOUT_REPORT_H_
#define COPPERPOINT_CLI_ROLLOUT_REPORT_H_

#include <nlohmann/json.hpp>
#include <string>

namespace copperpoint::cli {

// One HTML page that tells a change afterwards, and needs nothing else.
std::string RolloutReport(const nlohmann::ordered_json& status, const nlohmann::ordered_json& steps);

}  // namespace copperpoint::cli

#endif  // COPPERPOINT_CLI_ROLLOUT_REPORT_H_
