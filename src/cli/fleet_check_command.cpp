// SPDX-License-Identifier: Apache-2.0
//
// `copperpoint fleet check`: compares how several proxies see the membership.
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "cli/commands.h"
#include "cli/fleet_view.h"
#include "cli/subcommands.h"

namespace copperpoint::cli {
namespace {

// For one member: the proxies that see it, by the status, incarnation and address in which they see it.
using ObserversByState = std::map<std::string, std::vector<std::string>>;

struct FleetViews {
  std::vector<std::string> observers;  // names of the proxies that answered
  std::map<std::string, ObserversByState> members;
  int unreachable = 0;
};

std::string StateOf(const nlohmann::json& member, const std::string& status) {
  return fmt::format("{} in incarnation {} at {}", status, member.value("incarnation", 0u),
                     member.value("address", "?"));
}

void AddView(const nlohmann::json& view, const std::string& observer, FleetViews* views) {
  views->observers.push_back(observer);
  for (const auto& member : view["members"]) {
    const std::string status = member.value("status", "?");
    if (status != "alive" && status != "suspect") continue;
    views->members[member.value("name", "?")][StateOf(member, status)].push_back(observer);
  }
}

// Prints the error of each proxy that does not answer.
FleetViews GetFleetViews(const std::vector<std::string>& addresses) {
  FleetViews views;
  for (const std::string& address : addresses) {
    try {
      const nlohmann::json view = GetFleetView(address);
      AddView(view, view.value("name", address), &views);
    } catch (const std::runtime_error& error) {
      std::cout << error.what() << '\n';
      ++views.unreachable;
    }
  }
  return views;
}

// Returns whether all observers see the member in the same state; prints the states if not.
bool CheckMember(const std::string& member, const ObserversByState& states, std::size_t observer_count) {
  std::size_t seen_by = 0;
  for (const auto& [state, observers] : states) seen_by += observers.size();
  if (states.size() == 1 && seen_by == observer_count) return true;
  std::cout << member << ':';
  for (const auto& [state, observers] : states)
    std::cout << fmt::format(" {} according to {};", state, fmt::join(observers, " "));
  if (seen_by < observer_count)
    std::cout << fmt::format(" unknown to {} of {} proxies", observer_count - seen_by, observer_count);
  std::cout << '\n';
  return false;
}

int Check(const std::vector<std::string>& addresses) {
  const FleetViews views = GetFleetViews(addresses);
  int failures = views.unreachable;
  for (const auto& [member, states] : views.members)
    failures += !CheckMember(member, states, views.observers.size());
  if (failures > 0) return kFailure;
  std::cout << views.observers.size() << " proxies agree on " << views.members.size() << " members\n";
  return kSuccess;
}

}  // namespace

void AddFleetCheckCommand(CLI::App& fleet, int* exit_code) {
  auto addresses = std::make_shared<std::vector<std::string>>();
  CLI::App* check = fleet.add_subcommand(
      "check", "Print where several proxies see the fleet differently; exit code 1 if they do");
  check->footer("Example: copperpoint fleet check 127.0.0.1:9901 127.0.0.1:9902");
  check->add_option("ADDRESS", *addresses, "The admin addresses of proxies")->required();
  check->callback([addresses, exit_code] { *exit_code = Check(*addresses); });
}

}  // namespace copperpoint::cli
