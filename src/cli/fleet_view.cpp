// SPDX-License-Identifier: Apache-2.0
#include "cli/fleet_view.h"

#include <fmt/format.h>

#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <chrono>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "cli/ask.h"
#include "cli/commands.h"

namespace copperpoint::cli {
namespace {

// The view of a proxy. Throws std::runtime_error, one line.
nlohmann::json ViewOf(const std::string& address) {
  auto json = nlohmann::json::parse(Ask(address, "/fleet"), nullptr, /*allow_exceptions=*/false);
  if (!json.is_object() || !json.contains("members"))
    throw std::runtime_error(address + ": no view of a fleet");
  return json;
}

void Show(const nlohmann::json& view) {
  std::map<std::string, int> by_status;
  for (const auto& member : view["members"]) ++by_status[member.value("status", "?")];
  std::cout << view.value("name", "?") << " in " << view.value("cluster", "?") << ", view "
            << view.value("view", "?") << (view.value("settled", false) ? ", settled" : ", not settled")
            << (view.value("speaks", false) ? "" : ", silent");
  for (const auto& [status, n] : by_status) std::cout << ", " << n << ' ' << status;
  std::cout << '\n'
            << fmt::format("{:<16} {:<8} {:<9} {:<6} {:<10} {:<17} {:>9} {:>9}  {}\n", "member", "status",
                           "state", "zone", "program", "settings", "since_s", "heard_s", "address");
  for (const auto& member : view["members"]) {
    std::cout << fmt::format(
        "{:<16} {:<8} {:<9} {:<6} {:<10} {:<17} {:>9.1f} {:>9.1f}  {}", member.value("name", "?"),
        member.value("status", "?"), member.value("state", "-"), member.value("zone", "-"),
        member.value("program", "-"), member.value("settings", "-"), member.value("status_ms", 0.0) / 1000,
        member.value("heard_ms", 0.0) / 1000, member.value("address", "?"));
    if (member.contains("accusers")) {
      std::cout << "  accused by";
      for (const auto& by : member["accusers"]) std::cout << ' ' << by.get<std::string>();
    }
    std::cout << '\n';
  }
}

// Where views differ: of each member, who has it in which status and incarnation.
int Check(const std::vector<std::string>& addresses) {
  std::map<std::string, std::map<std::string, std::vector<std::string>>> said;  // member, what, by whom
  int faults = 0;
  std::vector<std::string> asked;
  for (const std::string& address : addresses) {
    nlohmann::json view;
    try {
      view = ViewOf(address);
    } catch (const std::runtime_error& error) {
      std::cout << error.what() << '\n';
      ++faults;
      continue;
    }
    asked.push_back(view.value("name", address));
    for (const auto& member : view["members"]) {
      const std::string status = member.value("status", "?");
      if (status != "alive" && status != "suspect") continue;
      said[member.value("name", "?")]
          [fmt::format("{} in incarnation {} at {}", status, member.value("incarnation", 0u),
                       member.value("address", "?"))]
              .push_back(asked.back());
    }
  }
  for (const auto& [member, ways] : said) {
    std::size_t n = 0;
    for (const auto& [what, by] : ways) n += by.size();
    if (ways.size() == 1 && n == asked.size()) continue;
    ++faults;
    std::cout << member << ':';
    for (const auto& [what, by] : ways) std::cout << fmt::format(" {} for {};", what, fmt::join(by, " "));
    if (n < asked.size()) std::cout << fmt::format(" not there for {} of {}", asked.size() - n, asked.size());
    std::cout << '\n';
  }
  if (faults == 0) std::cout << asked.size() << " proxies have one view of " << said.size() << " members\n";
  return faults ? kFault : kDone;
}

}  // namespace

void AddFleetView(CLI::App& fleet, int* exit_code) {
  struct Options {
    std::string address;
    std::vector<std::string> addresses;
    bool watch = false, json = false;
  };
  auto options = std::make_shared<Options>();
  CLI::App* show = fleet.add_subcommand("show", "How one proxy sees its fleet (docs/membership.md)");
  show->footer("Example: copperpoint fleet show 127.0.0.1:9901 --watch");
  show->add_option("ADDRESS", options->address, "The operator's address of a proxy")->required();
  show->add_flag("--json", options->json, "As the proxy says it");
  show->add_flag("--watch", options->watch, "Again each second, until interrupted");
  show->callback([options] {
    for (;;) {
      const nlohmann::json view = ViewOf(options->address);
      options->json ? void(std::cout << view.dump(1) << std::endl) : Show(view);
      if (!options->watch) return;
      std::cout << std::endl;
      std::this_thread::sleep_for(std::chrono::seconds(1));
    }
  });
  CLI::App* check =
      fleet.add_subcommand("check", "Where the views of several proxies differ; exit 1 if they do");
  check->footer("Example: copperpoint fleet check 127.0.0.1:9901 127.0.0.1:9902");
  check->add_option("ADDRESS", options->addresses, "The operators' addresses of proxies")->required();
  check->callback([options, exit_code] { *exit_code = Check(options->addresses); });
}

}  // namespace copperpoint::cli
