// SPDX-License-Identifier: Apache-2.0
//
// Plots of results: an SVG file for each chart, and one self-contained HTML page with all of them.
#ifndef COPPERPOINT_SIMULATION_REPORT_PLOT_H_
#define COPPERPOINT_SIMULATION_REPORT_PLOT_H_

#include <string>
#include <vector>

#include "simulation/report/chart.h"

namespace copperpoint::simulation {

// Writes FILE.svg for each chart that is not empty, and report.html with the title, `table` (preformatted
// text, may be empty) and the charts, into the folder. Returns the page's path. Throws std::runtime_error if
// gnuplot is missing or fails, or the page can't be written.
std::string WriteCharts(const std::vector<Chart>& charts, const std::string& title, const std::string& table,
                        const std::string& folder);

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_REPORT_PLOT_H_
