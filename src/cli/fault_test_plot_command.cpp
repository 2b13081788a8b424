// SPDX-License-Identifier: Apache-2.0
//
// `copperpoint fault-test plot`: plots results of `fault-test run --json` side by side.
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "cli/subcommands.h"
#include "config/read.h"
#include "fault_testing/quantile.h"
#include "simulation/report/plot.h"

namespace copperpoint::cli {
namespace {

using Json = nlohmann::ordered_json;
using simulation::Chart;
using simulation::Curve;

constexpr double kMedian = 0.5;

struct PlotOptions {
  std::vector<std::string> files;
  std::string output_folder;
};

// One result file, which has at least one run.
struct ResultFile {
  std::string label;
  Json runs;
};

struct FaultTestCharts {
  Chart spread{"spread",
               "Spread of the news that a member ended",
               "seconds after its end",
               "share of members that know",
               {},
               {}};
  Chart views{"views", "Different views among running members", "seconds", "views", {}, {}};
  std::map<std::string, Chart> figures;  // a bar for each file, by the figure's name
};

ResultFile ReadResultFile(const std::string& file) {
  const Json json = Json::parse(config::ReadFileContents(file), nullptr, /*allow_exceptions=*/false);
  if (!json.is_object())
    throw std::runtime_error(file + ": expected a JSON object written by fault-test run --json");
  Json runs = json.contains("runs") ? json["runs"] : Json::array({json});
  if (runs.empty() || !runs[0].contains("properties"))
    throw std::runtime_error(file +
                             ": expected a result of fault-test run --json, with 'properties' of each run");
  return {json.value("label", file), std::move(runs)};
}

// The share of the other members that knew of a member's end, over the time since that end.
Curve SpreadCurve(const std::string& label, const Json& run) {
  Curve curve{label, {{0, 0}}};
  const Json& spread = run["spread"];
  const auto members = static_cast<double>(spread.size());
  for (std::size_t i = 0; i < spread.size(); ++i) {
    const auto at = spread[i].get<double>();
    curve.points.emplace_back(at, static_cast<double>(i) / members);
    curve.points.emplace_back(at, static_cast<double>(i + 1) / members);
  }
  return curve;
}

// How many different views the running members had, over time.
Curve ViewsCurve(const std::string& label, const Json& run) {
  Curve curve{label, {}};
  double previous = 0;
  for (const Json& point : run["views"]) {
    const auto at = point[0].get<double>();
    const auto views = point[1].get<double>();
    if (!curve.points.empty()) curve.points.emplace_back(at, previous);
    curve.points.emplace_back(at, views);
    previous = views;
  }
  return curve;
}

std::vector<double> Values(const Json& runs, const nlohmann::json_pointer<std::string>& path) {
  std::vector<double> values;
  for (const Json& run : runs) values.push_back(run.at(path).get<double>());
  return values;
}

void AddBar(const std::string& figure, const ResultFile& result, const std::vector<double>& values,
            FaultTestCharts* charts) {
  Chart& chart = charts->figures[figure];
  chart.file = figure;
  chart.title = figure + (result.runs.size() > 1 ? ", median of the seeds" : "");
  chart.y = figure;
  chart.bars.emplace_back(result.label, fault_testing::Quantile(values, kMedian));
}

void AddPropertyBars(const ResultFile& result, FaultTestCharts* charts) {
  const nlohmann::json_pointer<std::string> properties("/properties");
  const Json& first = result.runs[0]["properties"];
  for (std::size_t i = 0; i < first.size(); ++i) {
    const std::string prefix = first[i]["kind"].get<std::string>() + "_";
    for (const auto& [name, value] : first[i].items()) {
      if (!value.is_number() || name == "bound") continue;
      AddBar(prefix + name, result, Values(result.runs, properties / i / name), charts);
    }
  }
}

void AddResult(const ResultFile& result, FaultTestCharts* charts) {
  const Json& first = result.runs[0];
  if (first.contains("spread") && !first["spread"].empty())
    charts->spread.curves.push_back(SpreadCurve(result.label, first));
  if (first.contains("views")) charts->views.curves.push_back(ViewsCurve(result.label, first));
  AddPropertyBars(result, charts);
  for (const char* name : {"suspicions", "healed"}) {
    const nlohmann::json_pointer<std::string> path(std::string("/") + name);
    if (first.contains(name)) AddBar(name, result, Values(result.runs, path), charts);
  }
}

void Plot(const PlotOptions& options) {
  FaultTestCharts collected;
  for (const std::string& file : options.files) AddResult(ReadResultFile(file), &collected);
  std::vector<Chart> charts;
  if (!collected.spread.curves.empty()) charts.push_back(std::move(collected.spread));
  if (!collected.views.curves.empty()) charts.push_back(std::move(collected.views));
  for (auto& [name, chart] : collected.figures) charts.push_back(std::move(chart));
  std::cout << simulation::WriteCharts(charts, "Fault test: " + options.files.front(), "",
                                       options.output_folder)
            << '\n';
}

}  // namespace

void AddFaultTestPlotCommand(CLI::App& fault_test) {
  auto options = std::make_shared<PlotOptions>();
  CLI::App* plot = fault_test.add_subcommand("plot",
                                             "Plot results of `fault-test run --json` side by side: how the "
                                             "news of an end spreads, views over time, figures");
  plot->footer("Example: copperpoint fault-test plot with.json without.json --out found/suspicion");
  plot->add_option("RESULTS", options->files, "Files that `fault-test run --json` wrote")
      ->required()
      ->check(CLI::ExistingFile);
  plot->add_option("--out", options->output_folder, "Folder of the plots")->required();
  plot->callback([options] { Plot(*options); });
}

}  // namespace copperpoint::cli
