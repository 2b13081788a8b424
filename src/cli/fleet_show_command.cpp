// SPDX-License-Identifier: Apache-2.0
//
// `copperpoint fleet show`: the membership as one proxy sees it.
#include <fmt/format.h>

#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <chrono>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "cli/fleet_view.h"
#include "cli/subcommands.h"

namespace copperpoint::cli {
namespace {

constexpr std::chrono::seconds kWatchInterval{1};
constexpr double kMsPerSecond = 1000;

struct ShowOptions {
  std::string address;
  bool watches = false;
  bool prints_json = false;
};

void PrintSummary(const nlohmann::json& view) {
  std::map<std::string, int> count_by_status;
  for (const auto& member : view["members"]) ++count_by_status[member.value("status", "?")];
  std::cout << view.value("name", "?") << " in " << view.value("cluster", "?") << ", view "
            << view.value("view", "?") << (view.value("settled", false) ? ", settled" : ", not settled")
            << (view.value("speaks", false) ? "" : ", silent");
  for (const auto& [status, count] : count_by_status) std::cout << ", " << count << ' ' << status;
  std::cout << '\n';
}

void PrintMember(const nlohmann::json& member) {
  std::cout << fmt::format("{:<16} {:<8} {:<9} {:<6} {:<10} {:<17} {:>9.1f} {:>9.1f}  {}",
                           member.value("name", "?"), member.value("status", "?"), member.value("state", "-"),
                           member.value("zone", "-"), member.value("program", "-"),
                           member.value("settings", "-"), member.value("status_ms", 0.0) / kMsPerSecond,
                           member.value("heard_ms", 0.0) / kMsPerSecond, member.value("address", "?"));
  if (member.contains("accusers")) {
    std::cout << "  accused by";
    for (const auto& accuser : member["accusers"]) std::cout << ' ' << accuser.get<std::string>();
  }
  std::cout << '\n';
}

void PrintView(const nlohmann::json& view) {
  PrintSummary(view);
  std::cout << fmt::format("{:<16} {:<8} {:<9} {:<6} {:<10} {:<17} {:>9} {:>9}  {}\n", "member", "status",
                           "state", "zone", "program", "settings", "since_s", "heard_s", "address");
  for (const auto& member : view["members"]) PrintMember(member);
}

void Show(const ShowOptions& options) {
  for (;;) {
    const nlohmann::json view = GetFleetView(options.address);
    if (options.prints_json) {
      std::cout << view.dump(1) << std::endl;
    } else {
      PrintView(view);
    }
    if (!options.watches) return;
    std::cout << std::endl;
    std::this_thread::sleep_for(kWatchInterval);
  }
}

}  // namespace

void AddFleetShowCommand(CLI::App& fleet) {
  auto options = std::make_shared<ShowOptions>();
  CLI::App* show = fleet.add_subcommand("show", "Print the fleet as one proxy sees it (docs/membership.md)");
  show->footer("Example: copperpoint fleet show 127.0.0.1:9901 --watch");
  show->add_option("ADDRESS", options->address, "The admin address of a proxy")->required();
  show->add_flag("--json", options->prints_json, "Print the proxy's JSON");
  show->add_flag("--watch", options->watches, "Repeat each second, until interrupted");
  show->callback([options] { Show(*options); });
}

}  // namespace copperpoint::cli
