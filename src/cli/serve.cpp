// SPDX-License-Identifier: Apache-2.0
#include "proxy/serve.h"

#include <cstdlib>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cli/commands.h"

namespace copperpoint::cli {
namespace {

// An option that takes one of the names. `to` must outlive the parsing.
template <typename Value>
void AddWord(CLI::App* app, const char* option, const std::vector<std::pair<std::string, Value>>& names,
             std::optional<Value>* to, const char* what) {
  std::vector<std::string> words;
  for (const auto& [word, value] : names) words.push_back(word);
  app->add_option_function<std::string>(
         option,
         [&names, to](const std::string& chosen) {
           for (const auto& [word, value] : names) {
             if (word == chosen) *to = value;
           }
         },
         what)
      ->check(CLI::IsMember(words));
}

}  // namespace

void AddServe(CLI::App& app) {
  auto options = std::make_shared<proxy::ServeOptions>();
  CLI::App* serve = app.add_subcommand("serve", "Run one proxy until SIGTERM; SIGHUP reads its files again");
  serve->footer(
      "The platform says in ROUTER_CONFIG, ROUTER_LISTEN and the like what the proxy is "
      "(docs/operations.md).\n"
      "Example: ROUTER_CONFIG=proxy.json copperpoint serve --config deploy/copperpoint.toml");
  serve->add_option("--config", options->operators_file, "The operator's file (docs/configuration.md)");
  AddWord(serve, "--log-level", log::LevelNames(), &options->log_level,
          "debug, info, warn, error or off; before the file's");
  AddWord(serve, "--log-format", log::FormatNames(), &options->log_format, "text or json; before the file's");
  serve->callback([options] { proxy::Serve(*options, [](const char* name) { return std::getenv(name); }); });
}

}  // namespace copperpoint::cli
