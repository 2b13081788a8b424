// SPDX-License-Identifier: Apache-2.0
//
// What a plot shows: curves, bars or a heat map.
#ifndef COPPERPOINT_SIMULATION_REPORT_CHART_H_
#define COPPERPOINT_SIMULATION_REPORT_CHART_H_

#include <string>
#include <utility>
#include <vector>

namespace copperpoint::simulation {

// A curve over x; its points are joined.
struct Curve {
  std::string name;
  std::vector<std::pair<double, double>> points;
};

// A field of a heat map.
struct Cell {
  std::string x;
  std::string y;
  double value = 0;
};

struct Chart {
  std::string file;  // its name, without an extension
  std::string title;
  std::string x;  // labels of the axes
  std::string y;
  std::vector<Curve> curves;
  std::vector<std::pair<std::string, double>> bars;  // instead of curves
  bool log_y = false;
  bool log_x = false;
  std::vector<Cell> cells = {};  // instead of curves: a heat map, with its values written in
  double color_min = 0;          // values where the colors of a heat map end
  double color_max = 1;
  bool high_is_good = true;
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_REPORT_CHART_H_
