// SPDX-License-Identifier: Apache-2.0
//
// `copperpoint rig plot`: results of `rig run --json` side by side.
#include "cli/rig_plot.h"

#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cli/commands.h"
#include "config/read.h"
#include "fault_testing/quantile.h"
#include "simulation/report/plot.h"

namespace copperpoint::cli {
namespace {

using Json = nlohmann::ordered_json;

struct Options {
  std::vector<std::string> files;
  std::string out;
};

// How an end became known: the share of the others that had learnt of it, by then.
simulation::Curve SpreadOf(const std::string& label, const Json& run) {
  simulation::Curve curve{label, {{0, 0}}};
  const Json& spread = run["spread"];
  for (std::size_t i = 0; i < spread.size(); ++i) {
    const auto at = spread[i].get<double>();
    curve.points.emplace_back(at, static_cast<double>(i) / static_cast<double>(spread.size()));
    curve.points.emplace_back(at, static_cast<double>(i + 1) / static_cast<double>(spread.size()));
  }
  return curve;
}

simulation::Curve ViewsOf(const std::string& label, const Json& run) {
  simulation::Curve curve{label, {}};
  double before = 0;
  for (const Json& point : run["views"]) {
    const auto at = point[0].get<double>(), views = point[1].get<double>();
    if (!curve.points.empty()) curve.points.emplace_back(at, before);
    curve.points.emplace_back(at, views);
    before = views;
  }
  return curve;
}

void Plot(const Options& options) {
  simulation::Chart spread{"spread", "How an end becomes known", "seconds after it", "share that knows", {},
                           {}};
  simulation::Chart views{"views", "Different views among the living", "seconds", "views", {}, {}};
  std::vector<simulation::Chart> charts;
  std::map<std::string, simulation::Chart> figures;
  for (const std::string& file : options.files) {
    const Json json = Json::parse(config::Contents(file), nullptr, /*allow_exceptions=*/false);
    if (!json.is_object()) throw std::runtime_error(file + ": is no result of rig run --json");
    const Json runs = json.contains("runs") ? json["runs"] : Json::array({json});
    if (runs.empty() || !runs[0].contains("properties"))
      throw std::runtime_error(file + ": is no result of rig run --json");
    const std::string label = json.value("label", file);
    if (runs[0].contains("spread") && !runs[0]["spread"].empty())
      spread.curves.push_back(SpreadOf(label, runs[0]));
    if (runs[0].contains("views")) views.curves.push_back(ViewsOf(label, runs[0]));
    const auto bar = [&](const std::string& figure, const std::vector<double>& values) {
      simulation::Chart& chart = figures[figure];
      chart.file = figure;
      chart.title = figure + (runs.size() > 1 ? ", median of the seeds" : "");
      chart.y = figure;
      chart.bars.emplace_back(label, fault_testing::Quantile(values, 0.5));
    };
    for (std::size_t p = 0; p < runs[0]["properties"].size(); ++p) {
      for (const auto& [name, value] : runs[0]["properties"][p].items()) {
        if (!value.is_number() || name == "bound") continue;
        std::vector<double> values;
        for (const Json& run : runs) values.push_back(run["properties"][p][name].get<double>());
        bar(runs[0]["properties"][p]["kind"].get<std::string>() + "_" + name, values);
      }
    }
    for (const char* name : {"suspicions", "healed"}) {
      if (!runs[0].contains(name)) continue;
      std::vector<double> values;
      for (const Json& run : runs) values.push_back(run[name].get<double>());
      bar(name, values);
    }
  }
  if (!spread.curves.empty()) charts.push_back(spread);
  if (!views.curves.empty()) charts.push_back(views);
  for (auto& [name, chart] : figures) charts.push_back(std::move(chart));
  std::cout << simulation::WriteCharts(charts, "The rig: " + options.files.front(), "", options.out) << '\n';
}

}  // namespace

void AddRigPlot(CLI::App* group) {
  auto options = std::make_shared<Options>();
  CLI::App* plot = group->add_subcommand(
      "plot", "Draw results of `rig run --json` side by side: how an end spreads, views over time, figures");
  plot->footer("Example: copperpoint rig plot with.json without.json --out found/suspicion");
  plot->add_option("RESULTS", options->files, "Files that `rig run --json` wrote")
      ->required()
      ->check(CLI::ExistingFile);
  plot->add_option("--out", options->out, "The folder of the pictures")->required();
  plot->callback([options] { Plot(*options); });
}

}  // namespace copperpoint::cli
