// SPDX-License-Identifier: Apache-2.0
//
// The program `copperpoint`: parses the command line, runs one command and prints what it throws.
#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <algorithm>
#include <exception>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include "cli/command_line.h"
#include "cli/commands.h"
#include "config/read.h"
#include "proxy/config/config_error.h"

namespace {

using copperpoint::cli::ExitCode;

// Prints each line of `message` after the program's name, so that a search for the name finds every line.
ExitCode PrintError(const std::string& message, ExitCode code) {
  std::istringstream lines(message);
  for (std::string line; std::getline(lines, line);) std::cerr << "copperpoint: " << line << '\n';
  return code;
}

void AddCommands(CLI::App& app, bool serves, int* exit_code) {
  copperpoint::cli::AddServeCommand(app);
  if (serves) return;  // spares the start of a proxy the options of the other commands
  copperpoint::cli::AddConfigCommand(app);
  copperpoint::cli::AddSimulateCommand(app, exit_code);
  copperpoint::cli::AddFleetCommand(app, exit_code);
  copperpoint::cli::AddFaultTestCommand(app, exit_code);
  copperpoint::cli::AddSuperviseCommand(app, exit_code);
  copperpoint::cli::AddRolloutCommand(app, exit_code);
  copperpoint::cli::AddDemoCommand(app, exit_code);
  copperpoint::cli::AddVersionCommand(app);
}

int Run(std::vector<std::string> arguments) {
  CLI::App app{"A reverse proxy and load balancer, and the simulation and fault tests of its decisions.",
               "copperpoint"};
  app.footer(
      "Exit codes: 0 success; 1 a failure or a violated rule was found; 2 wrong usage or configuration.\n"
      "`copperpoint COMMAND --help` has an example of each command.");
  app.require_subcommand(0, 1);
  int exit_code = copperpoint::cli::kSuccess;
  AddCommands(app, !arguments.empty() && arguments.front() == "serve", &exit_code);
  try {
    std::reverse(arguments.begin(), arguments.end());  // the order in which CLI11 consumes them
    app.parse(std::move(arguments));
    if (app.get_subcommands().empty()) std::cout << app.help();
    return exit_code;
  } catch (const CLI::ParseError& error) {
    if (error.get_exit_code() == 0) return app.exit(error);  // --help
    return PrintError(error.what(), copperpoint::cli::kUsage);
  } catch (const copperpoint::config::InvalidFile& error) {
    return PrintError(error.what(), copperpoint::cli::kUsage);
  } catch (const copperpoint::proxy::ConfigError& error) {
    return PrintError(error.what(), copperpoint::cli::kUsage);
  } catch (const std::invalid_argument& error) {
    return PrintError(error.what(), copperpoint::cli::kUsage);
  } catch (const std::exception& error) {
    return PrintError(error.what(), copperpoint::cli::kFailure);
  }
}

}  // namespace

int main(int argc, char** argv) {
  return Run(copperpoint::cli::CurrentArguments(std::vector<std::string>(argv + (argc > 0), argv + argc)));
}
