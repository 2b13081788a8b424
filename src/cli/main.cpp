// SPDX-License-Identifier: Apache-2.0
#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <exception>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>

#include "cli/commands.h"
#include "config/read.h"
#include "proxy/config/config_error.h"

namespace {

// Each line of `what` for itself, so that every one can be found by the program's name.
int Complain(const std::string& what, int code) {
  std::istringstream lines(what);
  for (std::string line; std::getline(lines, line);) std::cerr << "copperpoint: " << line << '\n';
  return code;
}

}  // namespace

int main(int argc, char** argv) {
  using copperpoint::cli::kFault;
  using copperpoint::cli::kUsage;
  CLI::App app{"A reverse proxy and load balancer, and the laboratory that its decisions are tried in.",
               "copperpoint"};
  app.footer(
      "Exit codes: 0 done; 1 a fault or a broken rule was found; 2 wrong usage or configuration.\n"
      "`copperpoint COMMAND --help` has an example of each command.");
  app.require_subcommand(0, 1);
  int exit_code = copperpoint::cli::kDone;
  copperpoint::cli::AddServe(app);
  // A proxy's start does not pay for the options of all the rest.
  if (argc < 2 || std::string_view(argv[1]) != "serve") {
    copperpoint::cli::AddConfig(app);
    copperpoint::cli::AddLab(app, &exit_code);
    copperpoint::cli::AddFleet(app, &exit_code);
    copperpoint::cli::AddRig(app, &exit_code);
    copperpoint::cli::AddKeep(app, &exit_code);
    copperpoint::cli::AddRollout(app, &exit_code);
    copperpoint::cli::AddDemo(app, &exit_code);
    copperpoint::cli::AddVersion(app);
  }
  try {
    app.parse(argc, argv);
    if (app.get_subcommands().empty()) std::cout << app.help();
    return exit_code;
  } catch (const CLI::ParseError& error) {
    if (error.get_exit_code() == 0) return app.exit(error);  // --help
    return Complain(error.what(), kUsage);
  } catch (const copperpoint::config::BadFile& error) {
    return Complain(error.what(), kUsage);
  } catch (const copperpoint::proxy::ConfigError& error) {
    return Complain(error.what(), kUsage);
  } catch (const std::invalid_argument& error) {
    return Complain(error.what(), kUsage);
  } catch (const std::exception& error) {
    return Complain(error.what(), kFault);
  }
}
