// SPDX-License-Identifier: Apache-2.0
//
// `copperpoint config`: checks and prints the operator's file, and prints the reference page of its keys.
#include <iostream>
#include <memory>
#include <string>
#include <string_view>

#include "cli/commands.h"
#include "config/read.h"
#include "config/show.h"
#include "proxy/config/config_reader.h"
#include "proxy/config/configuration_reference.h"
#include "proxy/config/operator_settings.h"

namespace copperpoint::cli {
namespace {

void CheckOperatorFile(const std::string& file) {
  config::LoadFile<proxy::OperatorSettings>(file);
  std::cout << file << ": valid\n";
}

// Reads the platform's JSON as `serve` does; the path is passed in an environment of its own.
void CheckPlatformFile(const std::string& file) {
  proxy::LoadConfig([&](const char* name) -> const char* {
    return std::string_view(name) == "ROUTER_CONFIG" ? file.c_str() : nullptr;
  });
  std::cout << file << ": valid\n";
}

void PrintValues(const std::string& file) {
  proxy::OperatorSettings settings;
  if (!file.empty()) settings = config::LoadFile<proxy::OperatorSettings>(file);
  std::cout << config::FormatValues([&](config::FieldVisitor& visitor) { settings.Describe(visitor); });
}

struct CheckOptions {
  std::string operator_file;
  std::string platform_file;
};

void AddCheck(CLI::App* config) {
  auto options = std::make_shared<CheckOptions>();
  CLI::App* check =
      config->add_subcommand("check", "Check files and print all errors; exit code 2 if there are any");
  check->footer("Example: copperpoint config check deploy/copperpoint.toml --platform proxy.json");
  CLI::Option* file = check->add_option("FILE", options->operator_file, "The operator's file");
  CLI::Option* platform = check->add_option("--platform", options->platform_file, "The platform's JSON");
  check->callback([options, file, platform] {
    if (!*file && !*platform) throw CLI::RequiredError("FILE or --platform");
    if (!options->operator_file.empty()) CheckOperatorFile(options->operator_file);
    if (!options->platform_file.empty()) CheckPlatformFile(options->platform_file);
  });
}

void AddShow(CLI::App* config) {
  auto file = std::make_shared<std::string>();
  CLI::App* show =
      config->add_subcommand("show", "Print the values in force: those of the file, else the defaults");
  show->footer("Example: copperpoint config show deploy/copperpoint.toml");
  show->add_option("FILE", *file, "The operator's file; without it, the defaults");
  show->callback([file] { PrintValues(*file); });
}

void AddReference(CLI::App* config) {
  CLI::App* reference =
      config->add_subcommand("reference", "Print the reference page of all keys, in Markdown");
  reference->footer("Example: copperpoint config reference > docs/configuration.md");
  reference->callback([] { std::cout << proxy::ConfigurationReference(); });
}

}  // namespace

void AddConfigCommand(CLI::App& app) {
  CLI::App* config = app.add_subcommand("config", "Check or show the operator's file");
  config->require_subcommand(1);
  config->footer("Example: copperpoint config check deploy/copperpoint.toml");
  AddCheck(config);
  AddShow(config);
  AddReference(config);
}

}  // namespace copperpoint::cli
