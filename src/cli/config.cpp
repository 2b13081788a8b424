// SPDX-License-Identifier: Apache-2.0
#include <iostream>
#include <memory>
#include <string>

#include "cli/commands.h"
#include "config/read.h"
#include "config/show.h"
#include "proxy/config/config_reader.h"
#include "proxy/config/configuration_reference.h"
#include "proxy/config/operator_settings.h"

namespace copperpoint::cli {
namespace {

void Check(const std::string& file, const std::string& platform) {
  if (!file.empty()) {
    config::Read<proxy::OperatorSettings>(file);
    std::cout << file << ": good\n";
  }
  if (!platform.empty()) {
    proxy::LoadConfig([&](const char* name) -> const char* {
      return std::string(name) == "ROUTER_CONFIG" ? platform.c_str() : nullptr;
    });
    std::cout << platform << ": good\n";
  }
}

void Show(const std::string& file) {
  proxy::OperatorSettings settings;
  if (!file.empty()) settings = config::Read<proxy::OperatorSettings>(file);
  std::cout << config::ShowValues([&](config::Visitor& v) { settings.Describe(v); });
}

}  // namespace

void AddConfig(CLI::App& app) {
  struct Options {
    std::string file, platform;
  };
  auto options = std::make_shared<Options>();
  CLI::App* config = app.add_subcommand("config", "Check or show the operator's file");
  config->require_subcommand(1);
  config->footer("Example: copperpoint config check deploy/copperpoint.toml");

  CLI::App* check =
      config->add_subcommand("check", "Name every fault of a file; exit code 2 if there is one");
  check->footer("Example: copperpoint config check deploy/copperpoint.toml --platform proxy.json");
  CLI::Option* file = check->add_option("FILE", options->file, "The operator's file");
  CLI::Option* platform = check->add_option("--platform", options->platform, "The platform's JSON");
  check->callback([options, file, platform] {
    if (!*file && !*platform) throw CLI::RequiredError("FILE or --platform");
    Check(options->file, options->platform);
  });

  CLI::App* show = config->add_subcommand("show", "Print the values in force: the file's over the defaults");
  show->footer("Example: copperpoint config show deploy/copperpoint.toml");
  show->add_option("FILE", options->file, "The operator's file; without it, the defaults");
  show->callback([options] { Show(options->file); });

  CLI::App* reference = config->add_subcommand("reference", "Print the page of all keys, in Markdown");
  reference->footer("Example: copperpoint config reference > docs/configuration.md");
  reference->callback([] { std::cout << proxy::ConfigurationReference(); });
}

}  // namespace copperpoint::cli
