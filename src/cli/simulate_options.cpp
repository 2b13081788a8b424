// SPDX-License-Identifier: Apache-2.0
#include "cli/simulate_options.h"

#include <fmt/format.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <iostream>
#include <stdexcept>

#include "config/edit.h"
#include "config/read.h"

namespace copperpoint::cli {
namespace {

constexpr std::size_t kProgressWidth = 40;  // columns
constexpr std::size_t kMaxViolations = 5;   // printed of one run
constexpr double kMinBusySeconds = 1e-9;    // divisor of a run that took no time
constexpr double kKilobytesPerMegabyte = 1024;

}  // namespace

CLI::App* AddSimulateSubcommand(CLI::App& simulate, const char* name, const char* description,
                                const char* example) {
  CLI::App* subcommand = simulate.add_subcommand(name, description);
  subcommand->footer(std::string("Example: copperpoint simulate ") + example);
  return subcommand;
}

void AddScenarioOptions(CLI::App* subcommand, ScenarioOptions* options) {
  subcommand->add_option("SCENARIO", options->file, "A scenario file (docs/lab.md)")->required();
  subcommand->add_option("--set", options->overrides, "KEY=VALUE overrides the file's, as in load.rate=500")
      ->allow_extra_args(false);
}

std::string ScenarioText(const ScenarioOptions& options) {
  std::string text = config::ReadFileContents(options.file);
  for (const std::string& assignment : options.overrides) {
    const std::size_t equals = assignment.find('=');
    if (equals == std::string::npos)
      throw std::invalid_argument("--set " + assignment + ": expected KEY=VALUE");
    text = config::SetKey(text, options.file, assignment.substr(0, equals), assignment.substr(equals + 1));
  }
  return text;
}

simulation::Scenario LoadScenario(const ScenarioOptions& options) {
  if (options.overrides.empty()) return simulation::ReadScenario(options.file);
  return config::LoadText<simulation::Scenario>(ScenarioText(options), options.file);
}

void PrintProgress(std::size_t done, std::size_t total) {
  if (!::isatty(STDERR_FILENO)) return;
  const std::size_t filled = total > 0 ? done * kProgressWidth / total : kProgressWidth;
  std::cerr << fmt::format("\r[{:<{}}] {}/{}{}", std::string(filled, '#'), kProgressWidth, done, total,
                           done == total ? "\n" : "")
            << std::flush;
}

void PrintCost(std::uint64_t events, double busy_s) {
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  std::cout << fmt::format("{} events, {:.0f} per second and core; peak memory {:.0f} MB\n", events,
                           static_cast<double>(events) / std::max(busy_s, kMinBusySeconds),
                           static_cast<double>(usage.ru_maxrss) / kKilobytesPerMegabyte);
}

void PrintViolations(const simulation::RunResult& run) {
  const auto& violations = run.json["broken"];
  const std::size_t printed = std::min(violations.size(), kMaxViolations);
  for (std::size_t i = 0; i < printed; ++i) {
    const auto& violation = violations[i];
    std::cout << fmt::format("rule {} violated at {:.3f} ms, request {}, proxy {}, backend {}: {}\n",
                             violation["rule"].get<int>(), violation["at_ms"].get<double>(),
                             violation["request"].get<std::uint64_t>(),
                             violation["proxy"].get<std::uint64_t>(),
                             violation["backend"].get<std::uint64_t>(), violation["what"].get<std::string>());
  }
  if (run.violations > static_cast<std::int64_t>(printed))
    std::cout << run.violations << " violations in total\n";
  if (run.trace.empty()) return;
  std::cout << "trace of request " << run.first_violating_request << ":\n";
  for (const std::string& line : run.trace) std::cout << line << '\n';
}

}  // namespace copperpoint::cli
