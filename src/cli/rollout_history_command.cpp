// SPDX-License-Identifier: Apache-2.0
//
// `copperpoint rollout history`: the decisions of a change, as lines or as one HTML page.
#include <fmt/format.h>

#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "cli/admin_client.h"
#include "cli/output_file.h"
#include "cli/rollout_options.h"
#include "cli/rollout_report.h"
#include "cli/subcommands.h"

namespace copperpoint::cli {
namespace {

using Json = nlohmann::ordered_json;

struct HistoryOptions {
  std::string address;
  std::string html_file;
};

void History(const HistoryOptions& options) {
  const Json status = GetAdminJson(options.address, "/rollout");
  const Json steps = GetAdminJson(options.address, "/rollout/history");
  for (const Json& step : steps) {
    std::cout << fmt::format("{:>9.1f} s  {:<10} {:>4}  {} ({})\n", step.value("at_s", 0.0),
                             step.value("what", ""), step.value("prefix", 0), step.value("why", ""),
                             step.value("by", ""));
  }
  if (!options.html_file.empty()) WriteOutputFile(options.html_file, RolloutReport(status, steps));
}

}  // namespace

void AddRolloutHistoryCommand(CLI::App& rollout) {
  auto options = std::make_shared<HistoryOptions>();
  CLI::App* history =
      AddRolloutSubcommand(rollout, "history", "Print each decision on the change, with its time and reason",
                           "history 127.0.0.1:9901 --html change.html");
  AddAdminAddress(history, &options->address);
  history->add_option("--html", options->html_file, "Write one self-contained page to this file");
  history->callback([options] { History(*options); });
}

}  // namespace copperpoint::cli
