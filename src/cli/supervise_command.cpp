// SPDX-License-Identifier: Apache-2.0
//
// `copperpoint supervise`: runs the process that starts and replaces the proxy of one machine
// (docs/rollout.md).
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
namespace {

constexpr int kLogLinesPerSecond = 200;

struct SuperviseOptions {
  std::string file;
  bool prints_digests = false;
};

void PrintDigests(const supervisor::Settings& settings) {
  for (const supervisor::Version& version : settings.versions)
    std::cout << version.name << ' ' << supervisor::DigestOf(version) << '\n';
}

int Supervise(const SuperviseOptions& options) {
  const auto settings = config::LoadFile<supervisor::Settings>(options.file);
  if (options.prints_digests) {
    PrintDigests(settings);
    return kSuccess;
  }
  const log::Format format = settings.json_log ? log::Format::kJson : log::Format::kText;
  log::Global().Set({log::Level::kInfo, format, kLogLinesPerSecond});
  return supervisor::RunSupervisor(settings);
}

}  // namespace

void AddSuperviseCommand(CLI::App& app, int* exit_code) {
  auto options = std::make_shared<SuperviseOptions>();
  CLI::App* supervise = app.add_subcommand(
      "supervise",
      "Run the proxy of this machine, restart it, and replace it by another version (docs/rollout.md)");
  supervise->footer("Example: ROUTER_CONFIG=proxy.json copperpoint supervise deploy/keep.toml");
  supervise->add_option("FILE", options->file, "The supervisor's settings")->required();
  supervise->add_flag("--digests", options->prints_digests, "Print the digest of each version and exit");
  supervise->callback([options, exit_code] { *exit_code = Supervise(*options); });
}

}  // namespace copperpoint::cli
