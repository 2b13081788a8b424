// SPDX-License-Identifier: Apache-2.0
#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <utility>

#include "simulation/report/result_charts.h"

namespace copperpoint::simulation {
namespace {

using nlohmann::ordered_json;

constexpr std::size_t kMaxCurves = 8;  // a time line with more curves is not readable

struct Figure {
  const char* key;
  const char* name;
};
constexpr Figure kBarFigures[] = {{"goodput", "goodput"},
                                  {"wasted_work", "share of work wasted"},
                                  {"attempts_per_request", "attempts per request"}};
constexpr Figure kLatencyFigures[] = {{"p50_ms", "Median latency of responses"},
                                      {"p99_ms", "99th percentile of the latency of responses"}};

std::string PolicyOf(const ordered_json& run) { return run["policy"].get<std::string>(); }

// The run with the highest rank is shown first: the balancer, then the oracle, then the others by goodput,
// which is at most 1.
double RankOf(const ordered_json& run) {
  const std::string policy = PolicyOf(run);
  if (policy == "ours") return 3;
  if (policy == "oracle") return 2;
  return run["goodput"].get<double>();
}

// The runs to show in a time line. Of the variants of a reference policy that differ in their suffix only the
// best is shown, since their curves nearly coincide.
std::vector<const ordered_json*> ShownRuns(const ordered_json& runs) {
  std::vector<const ordered_json*> shown;
  for (const auto& run : runs) shown.push_back(&run);
  std::stable_sort(shown.begin(), shown.end(),
                   [](const ordered_json* a, const ordered_json* b) { return RankOf(*a) > RankOf(*b); });
  std::set<std::string> pickers;
  std::erase_if(shown, [&](const ordered_json* run) {
    const std::string policy = PolicyOf(*run);
    return !pickers.insert(policy.substr(0, policy.find('+'))).second;
  });
  if (shown.size() > kMaxCurves) shown.resize(kMaxCurves);
  return shown;
}

using WindowFigure = std::function<double(const ordered_json& window)>;

double GoodputOf(const ordered_json& window) {
  const auto requested = window["asked"].get<double>();
  return requested > 0 ? window["got"].get<double>() / requested : 1.0;
}

// Returns `chart` with a curve of `figure` for each run.
Chart TimeLine(Chart chart, const std::vector<const ordered_json*>& runs, const WindowFigure& figure) {
  for (const ordered_json* run : runs) {
    Curve curve{PolicyOf(*run), {}};
    for (const auto& window : (*run)["windows"]) {
      const double value = figure(window);
      if (value > 0 || !chart.log_y) curve.points.emplace_back(window["at_s"].get<double>(), value);
    }
    if (!curve.points.empty()) chart.curves.push_back(std::move(curve));
  }
  return chart;
}

Chart BarChart(const Figure& figure, const ordered_json& runs) {
  Chart chart;
  chart.file = std::string("bars-") + figure.key;
  chart.title = std::string("Comparison of policies: ") + figure.name;
  chart.y = figure.name;
  for (const auto& run : runs) chart.bars.emplace_back(PolicyOf(run), run[figure.key].get<double>());
  return chart;
}

}  // namespace

std::vector<Chart> ChartsOfComparison(const ordered_json& comparison) {
  const ordered_json runs =
      comparison.contains("runs") ? comparison["runs"] : ordered_json::array({comparison});
  const auto shown = ShownRuns(runs);
  constexpr char kTimeLabel[] = "virtual time, s";
  std::vector<Chart> charts;
  const Chart goodput{
      "goodput", "Goodput over time", kTimeLabel, "value served in time / value requested", {}, {}, false,
      false};
  charts.push_back(TimeLine(goodput, shown, GoodputOf));
  for (const Figure& figure : kLatencyFigures) {
    const Chart latency{figure.key, figure.name, kTimeLabel, "ms", {}, {}, /*log_y=*/true, false};
    charts.push_back(TimeLine(latency, shown,
                              [&](const ordered_json& window) { return window[figure.key].get<double>(); }));
  }
  if (runs.size() < 2) return charts;
  for (const Figure& figure : kBarFigures) charts.push_back(BarChart(figure, runs));
  return charts;
}

}  // namespace copperpoint::simulation
