// SPDX-License-Identifier: Apache-2.0
//
// `copperpoint rollout`: staged changes of a whole fleet (docs/rollout.md). This file has the calls that
// control a change.
#include <iostream>
#include <memory>
#include <string>

#include "cli/admin_client.h"
#include "cli/commands.h"
#include "cli/rollout_options.h"
#include "cli/subcommands.h"
#include "config/read.h"
#include "rollout/plan_parser.h"

namespace copperpoint::cli {
namespace {

struct ControlCall {
  const char* name;  // of the subcommand, and of the call
  const char* description;
};
constexpr ControlCall kControlCalls[] = {
    {"pause", "Pause the change: no further member changes"},
    {"resume", "Continue a paused change"},
    {"abort", "Stop the change permanently and roll it back"},
};

struct StartOptions {
  std::string plan_file;
  std::string address;
};

// The plan is checked here first, so that its errors name the file.
void Start(const StartOptions& options) {
  const std::string plan = config::ReadFileContents(options.plan_file);
  rollout::ParsePlan(plan, options.plan_file);
  std::cout << CallAdmin(options.address, "/rollout/start", AdminMethod::kPost, plan);
}

void AddStart(CLI::App& rollout) {
  auto options = std::make_shared<StartOptions>();
  CLI::App* start = AddRolloutSubcommand(rollout, "start", "Start the change that a plan describes",
                                         "start change.toml 127.0.0.1:9901");
  start->add_option("FILE", options->plan_file, "The plan (docs/rollout.md)")
      ->required()
      ->check(CLI::ExistingFile);
  AddAdminAddress(start, &options->address);
  start->callback([options] { Start(*options); });
}

void AddControlCall(CLI::App& rollout, const ControlCall& call) {
  auto address = std::make_shared<std::string>();
  const std::string name = call.name;
  CLI::App* subcommand = AddRolloutSubcommand(rollout, call.name, call.description, name + " 127.0.0.1:9901");
  AddAdminAddress(subcommand, address.get());
  subcommand->callback(
      [address, name] { std::cout << CallAdmin(*address, "/rollout/" + name, AdminMethod::kPost); });
}

}  // namespace

CLI::App* AddRolloutSubcommand(CLI::App& rollout, const char* name, const char* description,
                               const std::string& example) {
  CLI::App* subcommand = rollout.add_subcommand(name, description);
  subcommand->footer("Example: copperpoint rollout " + example);
  return subcommand;
}

void AddAdminAddress(CLI::App* subcommand, std::string* address) {
  subcommand->add_option("ADDRESS", *address, "The admin address of any proxy of the fleet")->required();
}

void AddRolloutControlCommands(CLI::App& rollout) {
  AddStart(rollout);
  for (const ControlCall& call : kControlCalls) AddControlCall(rollout, call);
}

void AddRolloutCommand(CLI::App& app, int* exit_code) {
  CLI::App* rollout =
      app.add_subcommand("rollout", "Change the program or its settings on a whole fleet, in stages");
  rollout->require_subcommand(1);
  AddRolloutPlanCommand(*rollout, exit_code);
  AddRolloutControlCommands(*rollout);
  AddRolloutStatusCommand(*rollout);
  AddRolloutHistoryCommand(*rollout);
  AddRolloutSimulateCommand(*rollout, exit_code);
}

}  // namespace copperpoint::cli
