// SPDX-License-Identifier: Apache-2.0
#include "proxy/serve.h"

#include <cstdlib>
#include <map>
#include <memory>
#include <string>

#include "cli/commands.h"

namespace copperpoint::cli {

void AddServe(CLI::App& app) {
  auto options = std::make_shared<proxy::ServeOptions>();
  CLI::App* serve = app.add_subcommand("serve", "Run one proxy until SIGTERM; SIGHUP reads its files again");
  serve->footer(
      "The platform says in ROUTER_CONFIG, ROUTER_LISTEN and the like what the proxy is "
      "(docs/operations.md).\n"
      "Example: ROUTER_CONFIG=proxy.json copperpoint serve --config deploy/copperpoint.toml");
  serve->add_option("--config", options->operators_file, "The operator's file (docs/configuration.md)");
  static const std::map<std::string, log::Level> kLevels = {{"debug", log::Level::kDebug},
                                                            {"info", log::Level::kInfo},
                                                            {"warn", log::Level::kWarn},
                                                            {"error", log::Level::kError},
                                                            {"off", log::Level::kOff}};
  static const std::map<std::string, log::Format> kFormats = {{"text", log::Format::kText},
                                                              {"json", log::Format::kJson}};
  serve
      ->add_option_function<std::string>(
          "--log-level", [options](const std::string& word) { options->log_level = kLevels.at(word); },
          "debug, info, warn, error or off; before the file's")
      ->check(CLI::IsMember({"debug", "info", "warn", "error", "off"}));
  serve
      ->add_option_function<std::string>(
          "--log-format", [options](const std::string& word) { options->log_format = kFormats.at(word); },
          "text or json; before the file's")
      ->check(CLI::IsMember({"text", "json"}));
  serve->callback([options] { proxy::Serve(*options, [](const char* name) { return std::getenv(name); }); });
}

}  // namespace copperpoint::cli
