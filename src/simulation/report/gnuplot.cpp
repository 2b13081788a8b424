// SPDX-License-Identifier: Apache-2.0
#include "simulation/report/gnuplot.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/algorithm/string/replace.hpp>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <set>
#include <stdexcept>

namespace copperpoint::simulation {
namespace {

namespace fs = std::filesystem;

// Colors of curves, distinguishable also with color blindness (Okabe and Ito), darkest first.
constexpr const char* kColors[] = {"#000000", "#D55E00", "#0072B2", "#009E73",
                                   "#CC79A7", "#E69F00", "#56B4E9", "#999999"};
// The ends of a heat map's color scale; its middle is white.
constexpr const char* kBadColor = "#E08214";
constexpr const char* kGoodColor = "#2D88C4";
constexpr std::size_t kMaxPointsWithMarks = 40;  // curves with more points are drawn without marks
constexpr double kBalancerLineWidth = 3;         // the curve named `ours`
constexpr double kLineWidth = 1.6;
constexpr int kMaxErrorLength = 300;  // characters of gnuplot's error message

// Heights of a chart in pixels.
constexpr int kCurvesHeight = 380;
constexpr int kBarsMargin = 120;
constexpr int kBarHeight = 18;
constexpr int kHeatMapMargin = 130;
constexpr int kHeatMapRowHeight = 26;

std::string Quoted(std::string text) {
  boost::algorithm::replace_all(text, "\\", "\\\\");
  boost::algorithm::replace_all(text, "\"", "\\\"");
  return '"' + text + '"';
}

// Returns the index of `name`; appends it to `names` if it is not yet there.
std::size_t IndexOf(std::vector<std::string>* names, const std::string& name) {
  const auto found = std::find(names->begin(), names->end(), name);
  if (found != names->end()) return static_cast<std::size_t>(found - names->begin());
  names->push_back(name);
  return names->size() - 1;
}

std::string Tics(const std::vector<std::string>& names) {
  std::string list;
  for (std::size_t i = 0; i < names.size(); ++i)
    list += fmt::format("{}{} {}", i > 0 ? ", " : "", Quoted(names[i]), i);
  return list;
}

// Columns and rows are in the order in which they first occur in the cells; each cell shows its value.
std::string HeatMapScript(const Chart& chart) {
  std::vector<std::string> columns;
  std::vector<std::string> rows;
  std::string data;
  for (const Cell& cell : chart.cells) {
    const std::size_t column = IndexOf(&columns, cell.x);
    const std::size_t row = IndexOf(&rows, cell.y);
    data += fmt::format("{} {} {:.6f}\n", column, row, cell.value);
  }
  return fmt::format(
      "$data << EOD\n{}EOD\nunset key\nunset grid\nset xlabel {} noenhanced\nset ylabel {} noenhanced\n"
      "set xtics ({}) noenhanced\nset ytics ({}) noenhanced\nset xrange [-0.5:{}]\nset yrange [-0.5:{}]\n"
      "set palette defined (0 '{}', 0.5 '#F7F7F7', 1 '{}')\nset cbrange [{}:{}]\n"
      "plot $data using 1:2:3 with image pixels, $data using 1:2:(sprintf('%.2f', $3)) with labels font "
      "',11'\n",
      data, Quoted(chart.x), Quoted(chart.y), Tics(columns), Tics(rows),
      static_cast<double>(columns.size()) - 0.5, static_cast<double>(rows.size()) - 0.5,
      chart.high_is_good ? kBadColor : kGoodColor, chart.high_is_good ? kGoodColor : kBadColor,
      chart.color_min, chart.color_max);
}

// Horizontal bars, so that the names are readable; the highest value is on top.
std::string BarsScript(const Chart& chart) {
  auto bars = chart.bars;
  std::stable_sort(bars.begin(), bars.end(),
                   [](const auto& a, const auto& b) { return a.second < b.second; });
  std::string script = "$data << EOD\n";
  for (const auto& [name, value] : bars) script += fmt::format("{} {:.6f}\n", Quoted(name), value);
  const double min_value = bars.front().second;
  const double max_value = bars.back().second;
  const double axis_min = min_value > 0.5 * max_value ? min_value * 0.98 : 0;
  const double axis_max = std::max(max_value + 0.08 * (max_value - axis_min), axis_min + 1e-6);
  return script +
         fmt::format(
             "EOD\nset style fill solid\nset xlabel {}\nset xrange [{}:{}]\nset yrange [-0.7:{}]\nunset key\n"
             "set lmargin 22\n"
             "plot $data using (0):0:(0):2:($0-0.35):($0+0.35):(strcol(1) eq 'ours' ? 0xD55E00 : strcol(1) "
             "eq "
             "'oracle' ? 0x000000 : 0x0072B2):ytic(1) with boxxyerror lc rgb variable, "
             "$data using 2:0:(sprintf(' %.3f', $2)) with labels left font ',11'\n",
             Quoted(chart.y), axis_min, axis_max, static_cast<double>(bars.size()) - 0.3);
}

std::string CurvesScript(const Chart& chart) {
  std::string script = fmt::format(
      "set xlabel {} noenhanced\nset ylabel {} noenhanced\nset key outside right top noenhanced\n",
      Quoted(chart.x), Quoted(chart.y));
  if (chart.log_y) script += "set logscale y\n";
  if (chart.log_x) script += "set logscale x\n";
  std::string plots;
  for (std::size_t i = 0; i < chart.curves.size(); ++i) {
    const Curve& curve = chart.curves[i];
    script += fmt::format("$c{} << EOD\n", i);
    for (const auto& [x, y] : curve.points) script += fmt::format("{:.9g} {:.9g}\n", x, y);
    script += "EOD\n";
    const bool has_marks = curve.points.size() <= kMaxPointsWithMarks;
    plots += fmt::format("{}$c{} using 1:2 with {} lw {} dt {} lc rgb '{}' title {}", i > 0 ? ", " : "plot ",
                         i, has_marks ? "linespoints pt 7 ps 0.5" : "lines",
                         curve.name == "ours" ? kBalancerLineWidth : kLineWidth, 1 + i / std::size(kColors),
                         kColors[i % std::size(kColors)], Quoted(curve.name));
  }
  return script + plots + "\n";
}

int HeightOf(const Chart& chart) {
  if (!chart.bars.empty()) return kBarsMargin + kBarHeight * static_cast<int>(chart.bars.size());
  std::set<std::string> rows;
  for (const Cell& cell : chart.cells) rows.insert(cell.y);
  return rows.empty() ? kCurvesHeight : kHeatMapMargin + kHeatMapRowHeight * static_cast<int>(rows.size());
}

std::string Script(const Chart& chart, const std::string& svg) {
  const std::string head = fmt::format(
      "set terminal svg size 860,{} font 'Helvetica,13' background '#ffffff' noenhanced\nset output {}\n"
      "set title {} noenhanced\nset grid lc rgb '#dddddd'\nset border lc rgb '#888888'\nset tics textcolor "
      "rgb '#333333'\n",
      HeightOf(chart), Quoted(svg), Quoted(chart.title));
  if (!chart.cells.empty()) return head + HeatMapScript(chart);
  if (!chart.bars.empty()) return head + BarsScript(chart);
  return head + CurvesScript(chart);
}

std::string ReadFile(const fs::path& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

}  // namespace

// Passes the script and the error messages through files, so that gnuplot's errors can be reported.
void DrawWithGnuplot(const Chart& chart, const fs::path& svg) {
  const fs::path script_file = svg.string() + ".gnuplot";
  const fs::path error_file = svg.string() + ".errors";
  std::ofstream(script_file, std::ios::binary) << Script(chart, svg.string());
  const std::string command = "gnuplot '" + script_file.string() + "' 2>'" + error_file.string() + "'";
  const int status = std::system(command.c_str());
  const std::string errors = ReadFile(error_file);
  fs::remove(script_file);
  fs::remove(error_file);
  if (status == 0) return;
  throw std::runtime_error(
      "cannot draw a chart: gnuplot (Debian package gnuplot-nox) is not installed or failed: " +
      errors.substr(0, kMaxErrorLength));
}

}  // namespace copperpoint::simulation
