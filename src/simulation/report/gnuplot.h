// SPDX-License-Identifier: Apache-2.0
//
// Draws charts as SVG with gnuplot.
#ifndef COPPERPOINT_SIMULATION_REPORT_GNUPLOT_H_
#define COPPERPOINT_SIMULATION_REPORT_GNUPLOT_H_

#include <filesystem>

#include "simulation/report/chart.h"

namespace copperpoint::simulation {

// Writes the chart to the file `svg`. Throws std::runtime_error if gnuplot is not installed or fails.
void DrawWithGnuplot(const Chart& chart, const std::filesystem::path& svg);

}  // namespace copperpoint::simulation

#endif  // COPPERPOINT_SIMULATION_REPORT_GNUPLOT_H_
