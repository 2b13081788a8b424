// SPDX-License-Identifier: Apache-2.0
//
// The data of a chart: curves, bars or a heat map.
#ifndef COPPERPOINT_SIMULATION_REPORT_CHART_H_
#define COPPERPOINT_SIMULATION_REPORT_CHART_H_

#include <string>
#include <utility>
#include <vector>

namespace copperpoint::simulation {

// A curve of (x, y) points, which are connected by lines.
struct Curve {
  std::string name;
  std::vector<std::pair<double, double>> points;
};

// A cell of a heat map: its column, its row and its value.
struct Cell {
  std::string x;
  std::string y;
  double value = 0;
};

struct Chart {
  std::string file;  // file name without extension
  std::string title;
  std::string x;  // label of the x axis
  std::string y;  // label of the y axis
  std::vector<Curve> curves;
  std::vector<std::pair<std::string, double>> bars;  // name and value; replace the curves
  bool log_y = false;
  bool log_x = false;
  std::vector<Cell> cells = {};  // replace the curves: a heat map labelled with the values
  double color_min = 0;          // value at the low end of a heat map's color scale
  double color_max = 1;          // value at its high end
  bool high_is_good = true;      // which end of the color scale has the color for good values
};

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_REPORT_CHART_H_
