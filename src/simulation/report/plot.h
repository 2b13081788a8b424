// SPDX-License-Identifier: Apache-2.0
//
// Pictures of results: SVG by gnuplot, and one HTML page that holds them all and needs nothing else.
#ifndef COPPERPOINT_SIMULATION_REPORT_PLOT_H_
#define COPPERPOINT_SIMULATION_REPORT_PLOT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace copperpoint::simulation {

// A curve over x; points of one curve are joined.
struct Curve {
  std::string name;
  std::vector<std::pair<double, double>> points;
};

// A field of a heat map.
struct Cell {
  std::string x, y;
  double value = 0;
};

struct Chart {
  std::string file;  // its name, without an ending
  std::string title, x, y;
  std::vector<Curve> curves;
  std::vector<std::pair<std::string, double>> bars;  // instead of curves
  bool log_y = false, log_x = false;
  std::vector<Cell> cells = {};     // instead of curves: a heat map, with its values written in
  double coldest = 0, hottest = 1;  // values where its colours end
  bool high_is_good = true;
};

// The charts of a comparison (or of a single run): time lines of goodput and latency, policies side by side.
std::vector<Chart> ChartsOfComparison(const nlohmann::ordered_json& comparison);
// The charts of a sweep: each figure over the first varied key that is a number, a curve for each policy and
// for each value of the other keys, the mean over the seeds.
std::vector<Chart> ChartsOfSweep(const std::vector<nlohmann::ordered_json>& results);

// Writes FILE.svg for each chart and report.html into the folder, and returns the page's path. Throws
// std::runtime_error if gnuplot is missing or fails.
std::string WriteCharts(const std::vector<Chart>& charts, const std::string& title, const std::string& table,
                        const std::string& folder);

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_REPORT_PLOT_H_
