// SPDX-License-Identifier: Apache-2.0
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <iostream>
#include <memory>
#include <string>

#include "cli/commands.h"
#include "config/read.h"
#include "log/log.h"
#include "supervisor/settings.h"
#include "supervisor/supervisor_host.h"

namespace copperpoint::cli {

void AddKeep(CLI::App& app, int* exit_code) {
  struct Options {
    std::string file;
    bool digests = false;
  };
  auto options = std::make_shared<Options>();
  CLI::App* keep = app.add_subcommand(
      "keep",
      "Run one proxy of this machine, begin it again, and replace it by another version (docs/rollout.md)");
  keep->footer("Example: ROUTER_CONFIG=proxy.json copperpoint keep deploy/keep.toml");
  keep->add_option("FILE", options->file, "The keeper's file")->required();
  keep->add_flag("--digests", options->digests, "Print each version's digest, and end");
  keep->callback([options, exit_code] {
    const auto settings = config::Read<supervisor::Settings>(options->file);
    if (options->digests) {
      for (const supervisor::Version& version : settings.versions)
        std::cout << version.name << ' ' << supervisor::DigestOf(version) << '\n';
      return;
    }
    log::Global().Set({log::Level::kInfo, settings.json_log ? log::Format::kJson : log::Format::kText, 200});
    *exit_code = supervisor::RunSupervisor(settings);
  });
}

}  // namespace copperpoint::cli
