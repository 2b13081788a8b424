// SPDX-License-Identifier: Apache-2.0
//
// `copperpoint version`: prints the version, the compiler and the version of Boost.
#include <boost/version.hpp>
#include <iostream>

#include "cli/commands.h"

namespace copperpoint::cli {
namespace {

void PrintVersion() {
  std::cout << "copperpoint " << COPPERPOINT_VERSION << " (C++ " << __VERSION__ << ", Boost "
            << BOOST_VERSION / 100000 << '.' << BOOST_VERSION / 100 % 1000 << ")\n";
}

}  // namespace

void AddVersionCommand(CLI::App& app) {
  CLI::App* version =
      app.add_subcommand("version", "Print the version, the compiler and the version of Boost");
  version->footer("Example: copperpoint version");
  version->callback(PrintVersion);
}

}  // namespace copperpoint::cli
