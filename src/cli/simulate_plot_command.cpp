// SPDX-License-Identifier: Apache-2.0
//
// `copperpoint simulate plot`: plots a sweep's folder or a result file.
#include <fmt/format.h>

#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <filesystem>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "cli/simulate_options.h"
#include "cli/subcommands.h"
#include "config/read.h"
#include "simulation/report/plot.h"
#include "simulation/report/result_charts.h"
#include "simulation/run/sweep.h"

namespace copperpoint::cli {
namespace {

struct PlotOptions {
  std::string input;          // a sweep's folder, or a result file
  std::string output_folder;  // beside the input if empty
};

std::string PlotSweep(const PlotOptions& options) {
  const std::string folder = options.output_folder.empty() ? options.input : options.output_folder;
  const auto charts = simulation::ChartsOfSweep(simulation::ReadSweep(options.input));
  return simulation::WriteCharts(charts, "Sweep", "", folder);
}

std::string PlotResult(const PlotOptions& options) {
  const auto json = nlohmann::ordered_json::parse(config::ReadFileContents(options.input), nullptr,
                                                  /*allow_exceptions=*/false);
  if (!json.is_object() || !(json.contains("runs") || json.contains("windows"))) {
    throw std::invalid_argument(
        options.input +
        ": expected a result of simulate run or simulate compare: a JSON object with 'runs' or 'windows'");
  }
  const std::string folder = options.output_folder.empty() ? options.input + ".plots" : options.output_folder;
  const std::string title =
      fmt::format("{}, seed {}", json["scenario"].get<std::string>(), json["seed"].get<std::uint64_t>());
  return simulation::WriteCharts(simulation::ChartsOfComparison(json), title, "", folder);
}

void Plot(const PlotOptions& options) {
  const bool is_sweep = std::filesystem::is_directory(options.input);
  std::cout << (is_sweep ? PlotSweep(options) : PlotResult(options)) << '\n';
}

}  // namespace

void AddSimulatePlotCommand(CLI::App& simulate) {
  auto options = std::make_shared<PlotOptions>();
  CLI::App* plot = AddSimulateSubcommand(simulate, "plot",
                                         "Plot a sweep's folder or a result file: SVG, and one HTML page",
                                         "plot out.json --out found/plots");
  plot->add_option("RESULT", options->input,
                   "A folder of simulate sweep, or a file of simulate run or simulate compare")
      ->required()
      ->check(CLI::ExistingPath);
  plot->add_option("--out", options->output_folder, "Folder of the plots; default: RESULT, or RESULT.plots");
  plot->callback([options] { Plot(*options); });
}

}  // namespace copperpoint::cli
