// SPDX-License-Identifier: Apache-2.0
//
// `copperpoint rollout status`: the progress of a change, with the changed members beside the others.
#include <fmt/format.h>

#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <algorithm>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "cli/admin_client.h"
#include "cli/rollout_options.h"
#include "cli/subcommands.h"

namespace copperpoint::cli {
namespace {

using Json = nlohmann::ordered_json;

struct StatusOptions {
  std::string address;
  bool prints_json = false;
};

void PrintChange(const Json& change) {
  std::cout << fmt::format("{}: {} to {}, {}{}, {} of {} members may have changed, started by {}\n",
                           change.value("name", ""), change.value("from", ""), change.value("to", ""),
                           change.value("course", ""), change.value("paused", false) ? ", paused" : "",
                           change.value("may_have_changed", 0), change.value("members", 0),
                           change.value("by", ""));
}

// Prints the requests of a cohort, the shares of them that were missed, rejected and failed, and the attempts
// per request.
void PrintCohort(const char* name, const Json& cohort) {
  const double requests = std::max(1.0, cohort.value("asked", 0.0));
  std::cout << fmt::format(
      "{:<8} {:>9.0f} requests {:>8.4f} missed {:>8.4f} rejected {:>8.4f} failed {:>7.3f} attempts\n", name,
      cohort.value("asked", 0.0), cohort.value("missed", 0.0) / requests,
      cohort.value("refused", 0.0) / requests, cohort.value("failed", 0.0) / requests,
      cohort.value("attempts", 0.0) / requests);
}

void PrintMember(const Json& member) {
  std::cout << fmt::format("{:<16} {:<6} {:<8} {:<12} {:<9} last report {:>6.1f} s ago, {} crashes\n",
                           member.value("name", ""), member.value("zone", ""),
                           member.value("allowed", false) ? "changed" : "-", member.value("version", ""),
                           member.value("ready", false) ? "ready" : "not ready", member.value("heard_s", 0.0),
                           member.value("crashes", 0));
}

void PrintStatus(const Json& status) {
  if (status.value("change", Json()).is_null()) {
    std::cout << "no change in progress; this proxy runs " << status.value("version", "?") << '\n';
    return;
  }
  PrintChange(status["change"]);
  if (!status.contains("cohorts")) {
    std::cout << "this proxy does not lead the change\n";
    return;
  }
  std::cout << fmt::format("{} for {:.1f} s, reports from {} members\n", status.value("phase", ""),
                           status.value("phase_s", 0.0), status.value("heard", 0));
  for (const char* cohort : {"changed", "others"}) PrintCohort(cohort, status[cohort]);
  for (const Json& member : status["cohorts"]) PrintMember(member);
}

void Status(const StatusOptions& options) {
  if (options.prints_json) {
    std::cout << CallAdmin(options.address, "/rollout");
  } else {
    PrintStatus(GetAdminJson(options.address, "/rollout"));
  }
}

}  // namespace

void AddRolloutStatusCommand(CLI::App& rollout) {
  auto options = std::make_shared<StatusOptions>();
  CLI::App* status = AddRolloutSubcommand(rollout, "status",
                                          "Print the progress of the change, with both cohorts side by side",
                                          "status 127.0.0.1:9901");
  AddAdminAddress(status, &options->address);
  status->add_flag("--json", options->prints_json, "Print the proxy's JSON");
  status->callback([options] { Status(*options); });
}

}  // namespace copperpoint::cli
