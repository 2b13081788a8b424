// SPDX-License-Identifier: Apache-2.0
//
// `copperpoint fault-test`: runs many processes of the program with faults between them (docs/membership.md).
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <algorithm>
#include <filesystem>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "cli/commands.h"
#include "cli/subcommands.h"
#include "fault_testing/plan.h"

namespace copperpoint::cli {
namespace {

constexpr char kDefaultFolder[] = "lab/rig";

void ListPlans(const std::string& folder) {
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    if (entry.path().extension() == ".toml") files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());
  for (const auto& file : files)
    std::cout << file.string() << ": " << fault_testing::ReadPlan(file.string()).about << '\n';
}

}  // namespace

void AddFaultTestListCommand(CLI::App& fault_test) {
  auto folder = std::make_shared<std::string>(kDefaultFolder);
  CLI::App* list = fault_test.add_subcommand("list", "Print the fault tests of a folder, one per line");
  list->footer("Example: copperpoint fault-test list lab/rig");
  list->add_option("FOLDER", *folder, "Folder of fault tests")->check(CLI::ExistingDirectory);
  list->callback([folder] { ListPlans(*folder); });
}

void AddFaultTestCommand(CLI::App& app, int* exit_code) {
  CLI::App* fault_test =
      app.add_subcommand("fault-test", "Run many processes of the program with faults between them");
  fault_test->require_subcommand(1);
  AddFaultTestRunCommand(*fault_test, exit_code);
  AddFaultTestPlotCommand(*fault_test);
  AddFaultTestListCommand(*fault_test);
}

}  // namespace copperpoint::cli
