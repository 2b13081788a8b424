// SPDX-License-Identifier: Apache-2.0
//
// `copperpoint serve`: runs one proxy.
#include <cstdlib>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cli/commands.h"
#include "proxy/serve.h"

namespace copperpoint::cli {
namespace {

// Adds an option that takes one of `names`. Both `names` and `value` must outlive the parsing.
template <typename Value>
void AddNamedValueOption(CLI::App* app, const char* option,
                         const std::vector<std::pair<std::string, Value>>& names, std::optional<Value>* value,
                         const char* description) {
  std::vector<std::string> choices;
  choices.reserve(names.size());
  for (const auto& [name, named] : names) choices.push_back(name);
  const auto assign = [&names, value](const std::string& chosen) {
    for (const auto& [name, named] : names) {
      if (name == chosen) *value = named;
    }
  };
  app->add_option_function<std::string>(option, assign, description)->check(CLI::IsMember(choices));
}

}  // namespace

void AddServeCommand(CLI::App& app) {
  auto options = std::make_shared<proxy::ServeOptions>();
  CLI::App* serve = app.add_subcommand("serve", "Run one proxy until SIGTERM; SIGHUP reloads its files");
  serve->footer(
      "The platform configures the proxy by ROUTER_CONFIG, ROUTER_LISTEN and other variables "
      "(docs/operations.md).\n"
      "Example: ROUTER_CONFIG=proxy.json copperpoint serve --config deploy/copperpoint.toml");
  serve->add_option("--config", options->operators_file, "The operator's file (docs/configuration.md)");
  AddNamedValueOption(serve, "--log-level", log::LevelNames(), &options->log_level,
                      "debug, info, warn, error or off; overrides the file's");
  AddNamedValueOption(serve, "--log-format", log::FormatNames(), &options->log_format,
                      "text or json; overrides the file's");
  serve->callback([options] { proxy::Serve(*options, [](const char* name) { return std::getenv(name); }); });
}

}  // namespace copperpoint::cli
