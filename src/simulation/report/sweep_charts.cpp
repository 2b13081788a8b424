// SPDX-License-Identifier: Apache-2.0
#include <fmt/format.h>

#include <algorithm>
#include <boost/lexical_cast.hpp>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

#include "simulation/report/result_charts.h"

namespace copperpoint::simulation {
namespace {

using nlohmann::ordered_json;

// The x axis is logarithmic if the largest x is at least this many times the smallest.
constexpr double kLogScaleRatio = 100;

struct Figure {
  const char* key;
  const char* name;
};
constexpr Figure kSweepFigures[] = {{"goodput", "value served in time / value requested"},
                                    {"p50_ms", "median latency, ms"},
                                    {"p99_ms", "99th percentile, ms"},
                                    {"attempts_per_request", "attempts per request"},
                                    {"wasted_work", "share of work wasted"}};

// A metric shown as a heat map, and the values with the colors for the worst and the best result.
struct RecoveryFigure {
  const char* key;
  const char* name;
  double worst;
  double best;
};
constexpr RecoveryFigure kRecoveryFigures[] = {
    {"after", "goodput in the 5 s after the faults", 0, 1},
    {"back_s", "seconds until goodput has recovered", 10, 0},
};

struct Mean {
  double sum = 0;
  int count = 0;
  void Add(double value) {
    sum += value;
    ++count;
  }
  double Value() const { return sum / count; }
};

std::optional<double> NumberOf(const std::string& text) {
  double value = 0;
  return boost::conversion::try_lexical_convert(text, value) ? std::optional(value) : std::nullopt;
}

void AppendToList(std::string* list, const std::string& word) { *list += (list->empty() ? "" : ", ") + word; }

// ---- heat maps ----------------------------------------------------------------------------------------

using CellPosition = std::pair<std::string, std::string>;

// The heat map of one policy: the mean of each cell, and the cells in the order in which they first occur.
struct HeatMapData {
  std::map<CellPosition, Mean> means;
  std::vector<CellPosition> order;
};

// The first varied key is on the x axis; all other keys together are on the y axis.
struct HeatMapAxes {
  std::string x_path;
  std::string y_paths;
};

HeatMapAxes AxesOf(const ordered_json& values) {
  HeatMapAxes axes;
  axes.x_path = values.empty() ? "" : values.begin().key();
  for (const auto& [path, value] : values.items()) {
    if (path != axes.x_path) AppendToList(&axes.y_paths, path);
  }
  return axes;
}

CellPosition PositionOf(const ordered_json& values, const std::string& x_path) {
  CellPosition position;
  for (const auto& [path, value] : values.items())
    AppendToList(path == x_path ? &position.first : &position.second, value.get<std::string>());
  return position;
}

std::map<std::string, HeatMapData> HeatMapsByPolicy(const std::vector<ordered_json>& results, const char* key,
                                                    const std::string& x_path) {
  std::map<std::string, HeatMapData> by_policy;
  for (const ordered_json& point : results) {
    if (!point["result"].contains("recovery")) continue;
    const CellPosition position = PositionOf(point["values"], x_path);
    HeatMapData& data = by_policy[point["policy"].get<std::string>()];
    Mean& mean = data.means[position];
    if (mean.count == 0) data.order.push_back(position);
    mean.Add(point["result"]["recovery"][key].get<double>());
  }
  return by_policy;
}

Chart HeatMap(const RecoveryFigure& figure, const std::string& policy, const HeatMapAxes& axes,
              const HeatMapData& data) {
  Chart chart;
  chart.file = fmt::format("heat-{}-{}", policy, figure.key);
  chart.title = fmt::format("{}: {}", policy, figure.name);
  chart.x = axes.x_path;
  chart.y = axes.y_paths;
  chart.color_min = std::min(figure.worst, figure.best);
  chart.color_max = std::max(figure.worst, figure.best);
  chart.high_is_good = figure.worst < figure.best;
  for (const CellPosition& position : data.order)
    chart.cells.push_back({position.first, position.second, data.means.at(position).Value()});
  return chart;
}

// Returns a heat map for each recovery metric and policy.
std::vector<Chart> RecoveryHeatMaps(const std::vector<ordered_json>& results) {
  const HeatMapAxes axes = AxesOf(results.front()["values"]);
  std::vector<Chart> charts;
  for (const RecoveryFigure& figure : kRecoveryFigures) {
    for (const auto& [policy, data] : HeatMapsByPolicy(results, figure.key, axes.x_path))
      charts.push_back(HeatMap(figure, policy, axes, data));
  }
  return charts;
}

// ---- curves -------------------------------------------------------------------------------------------

// Returns the first varied key whose value in `values` is a number, or an empty string if there is none.
std::string FirstNumericKey(const ordered_json& values) {
  for (const auto& [path, value] : values.items()) {
    if (NumberOf(value.get<std::string>())) return path;
  }
  return "";
}

std::string CurveName(const ordered_json& point, const std::string& x_path) {
  std::string name = point["policy"];
  for (const auto& [path, value] : point["values"].items()) {
    if (path != x_path) name += " " + path + "=" + value.get<std::string>();
  }
  return name;
}

Chart SweepChart(const Figure& figure, const std::string& x_path, const std::vector<ordered_json>& results) {
  const bool is_latency = std::string(figure.key).ends_with("_ms");
  Chart chart;
  chart.file = std::string("sweep-") + figure.key;
  chart.title = std::string(figure.name) + " over " + x_path;
  chart.x = x_path;
  chart.y = figure.name;
  chart.log_y = is_latency;
  std::map<std::string, std::map<double, Mean>> means;
  std::vector<std::string> order;
  for (const auto& point : results) {
    const std::string curve = CurveName(point, x_path);
    if (!means.contains(curve)) order.push_back(curve);
    const double x = *NumberOf(point["values"][x_path].get<std::string>());
    means[curve][x].Add(point["result"][figure.key].get<double>());
  }
  const auto& first = means[order.front()];
  const double min_x = first.begin()->first;
  chart.log_x = min_x > 0 && first.rbegin()->first >= kLogScaleRatio * min_x;
  for (const std::string& name : order) {
    Curve curve{name, {}};
    for (const auto& [x, mean] : means[name]) {
      if (mean.sum > 0 || !is_latency) curve.points.emplace_back(x, mean.Value());
    }
    if (!curve.points.empty()) chart.curves.push_back(std::move(curve));
  }
  return chart;
}

}  // namespace

std::vector<Chart> ChartsOfSweep(const std::vector<ordered_json>& results) {
  const std::string x_path = FirstNumericKey(results.front()["values"]);
  if (x_path.empty())
    throw std::runtime_error("cannot draw a chart: expected a varied key with numeric values for the x axis");
  std::vector<Chart> charts;
  for (const Figure& figure : kSweepFigures) charts.push_back(SweepChart(figure, x_path, results));
  for (Chart& chart : RecoveryHeatMaps(results)) charts.push_back(std::move(chart));
  return charts;
}

}  // namespace copperpoint::simulation
