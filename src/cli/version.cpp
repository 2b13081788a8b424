// SPDX-License-Identifier: Apache-2.0
#include <boost/version.hpp>
#include <iostream>

#include "cli/commands.h"

namespace copperpoint::cli {

void AddVersion(CLI::App& app) {
  CLI::App* version = app.add_subcommand("version", "Print the version and what it was built with");
  version->footer("Example: copperpoint version");
  version->callback([] {
    std::cout << "copperpoint " << COPPERPOINT_VERSION << " (C++ " << __VERSION__ << ", Boost "
              << BOOST_VERSION / 100000 << '.' << BOOST_VERSION / 100 % 1000 << ")\n";
  });
}

}  // namespace copperpoint::cli
