// SPDX-License-Identifier: Apache-2.0
//
// Writes charts of results: an SVG file for each chart and a self-contained HTML page with all charts.
#ifndef COPPERPOINT_SIMULATION_REPORT_PLOT_H_
#define COPPERPOINT_SIMULATION_REPORT_PLOT_H_

#include <string>
#include <vector>

#include "simulation/report/chart.h"

namespace copperpoint::simulation {

// Writes FILE.svg for each chart that is not empty, and report.html with the title, `table` (preformatted
// text, may be empty) and the charts, into the folder. Returns the path of the page. Throws
// std::runtime_error if gnuplot is not installed or fails, or if the page cannot be written.
std::string WriteCharts(const std::vector<Chart>& charts, const std::string& title, const std::string& table,
                        const std::string& folder);

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_REPORT_PLOT_H_
