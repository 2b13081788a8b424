// SPDX-License-Identifier: Apache-2.0
#include "simulation/report/plot.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/algorithm/string/replace.hpp>
#include <boost/lexical_cast.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <tuple>

namespace copperpoint::simulation {
namespace {

namespace fs = std::filesystem;
using nlohmann::ordered_json;

// Colours that can be told apart, also by the colour-blind (Okabe and Ito), darkest first.
constexpr const char* kColours[] = {"#000000", "#D55E00", "#0072B2", "#009E73",
                                    "#CC79A7", "#E69F00", "#56B4E9", "#999999"};
constexpr const char *kBad = "#E08214", *kGood = "#2D88C4";  // of a heat map, white between
constexpr std::size_t kMostCurves = 8;                       // a time line with more can't be read

std::string Quoted(std::string text) {
  boost::algorithm::replace_all(text, "\\", "\\\\");
  boost::algorithm::replace_all(text, "\"", "\\\"");
  return '"' + text + '"';
}

std::string EscapedForHtml(std::string text) {
  boost::algorithm::replace_all(text, "&", "&amp;");
  boost::algorithm::replace_all(text, "<", "&lt;");
  return text;
}

// Fields side by side in the order of their first cells, each with its value.
std::string HeatScript(const Chart& chart) {
  std::vector<std::string> xs, ys;
  const auto place = [](std::vector<std::string>* names, const std::string& name) {
    const auto found = std::find(names->begin(), names->end(), name);
    if (found != names->end()) return static_cast<std::size_t>(found - names->begin());
    names->push_back(name);
    return names->size() - 1;
  };
  std::string data, xtics, ytics;
  for (const Cell& cell : chart.cells)
    data += fmt::format("{} {} {:.6f}\n", place(&xs, cell.x), place(&ys, cell.y), cell.value);
  const auto tics = [](const std::vector<std::string>& names) {
    std::string list;
    for (std::size_t i = 0; i < names.size(); ++i)
      list += fmt::format("{}{} {}", i ? ", " : "", Quoted(names[i]), i);
    return list;
  };
  return fmt::format(
      "$data << EOD\n{}EOD\nunset key\nunset grid\nset xlabel {} noenhanced\nset ylabel {} noenhanced\n"
      "set xtics ({}) noenhanced\nset ytics ({}) noenhanced\nset xrange [-0.5:{}]\nset yrange [-0.5:{}]\n"
      "set palette defined (0 '{}', 0.5 '#F7F7F7', 1 '{}')\nset cbrange [{}:{}]\n"
      "plot $data using 1:2:3 with image pixels, $data using 1:2:(sprintf('%.2f', $3)) with labels font "
      "',11'\n",
      data, Quoted(chart.x), Quoted(chart.y), tics(xs), tics(ys), static_cast<double>(xs.size()) - 0.5,
      static_cast<double>(ys.size()) - 0.5, chart.high_is_good ? kBad : kGood,
      chart.high_is_good ? kGood : kBad, chart.coldest, chart.hottest);
}

int HeightOf(const Chart& chart) {
  if (!chart.bars.empty()) return 120 + 18 * static_cast<int>(chart.bars.size());
  std::set<std::string> rows;
  for (const Cell& cell : chart.cells) rows.insert(cell.y);
  return rows.empty() ? 380 : 130 + 26 * static_cast<int>(rows.size());
}

std::string Script(const Chart& chart, const std::string& svg) {
  const int height = HeightOf(chart);
  std::string s = fmt::format(
      "set terminal svg size 860,{} font 'Helvetica,13' background '#ffffff' noenhanced\nset output {}\n"
      "set title {} noenhanced\nset grid lc rgb '#dddddd'\nset border lc rgb '#888888'\nset tics textcolor "
      "rgb '#333333'\n",
      height, Quoted(svg), Quoted(chart.title));
  if (!chart.cells.empty()) return s + HeatScript(chart);
  if (!chart.bars.empty()) {
    // Lying bars, the best on top, so that names can be read.
    s += "$data << EOD\n";
    auto bars = chart.bars;
    std::stable_sort(bars.begin(), bars.end(),
                     [](const auto& a, const auto& b) { return a.second < b.second; });
    for (const auto& [name, value] : bars) s += fmt::format("{} {:.6f}\n", Quoted(name), value);
    const double most = bars.back().second;
    const double from = bars.front().second > 0.5 * most ? bars.front().second * 0.98 : 0;
    const double to = std::max(most + 0.08 * (most - from), from + 1e-6);
    s += fmt::format(
        "EOD\nset style fill solid\nset xlabel {}\nset xrange [{}:{}]\nset yrange [-0.7:{}]\nunset key\n"
        "set lmargin 22\n"
        "plot $data using (0):0:(0):2:($0-0.35):($0+0.35):(strcol(1) eq 'ours' ? 0xD55E00 : strcol(1) eq "
        "'oracle' ? 0x000000 : 0x0072B2):ytic(1) with boxxyerror lc rgb variable, "
        "$data using 2:0:(sprintf(' %.3f', $2)) with labels left font ',11'\n",
        Quoted(chart.y), from, to, static_cast<double>(bars.size()) - 0.3);
    return s;
  }
  s += fmt::format(
      "set xlabel {} noenhanced\nset ylabel {} noenhanced\nset key outside right top noenhanced\n",
      Quoted(chart.x), Quoted(chart.y));
  if (chart.log_y) s += "set logscale y\n";
  if (chart.log_x) s += "set logscale x\n";
  std::string plots;
  for (std::size_t i = 0; i < chart.curves.size(); ++i) {
    const Curve& curve = chart.curves[i];
    s += fmt::format("$c{} << EOD\n", i);
    for (const auto& [x, y] : curve.points) s += fmt::format("{:.9g} {:.9g}\n", x, y);
    s += "EOD\n";
    const char* style = curve.points.size() <= 40 ? "linespoints pt 7 ps 0.5" : "lines";
    plots += fmt::format("{}$c{} using 1:2 with {} lw {} dt {} lc rgb '{}' title {}", i ? ", " : "plot ", i,
                         style, curve.name == "ours" ? 3 : 1.6, 1 + i / std::size(kColours),
                         kColours[i % std::size(kColours)], Quoted(curve.name));
  }
  return s + plots + "\n";
}

std::string Contents(const fs::path& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

// Through a file, so that what gnuplot complains of can be told.
void Gnuplot(const fs::path& svg, const std::string& script) {
  const fs::path file = svg.string() + ".gnuplot", complaints = svg.string() + ".errors";
  std::ofstream(file, std::ios::binary) << script;
  const std::string command = "gnuplot '" + file.string() + "' 2>'" + complaints.string() + "'";
  const int status = std::system(command.c_str());
  const std::string said = Contents(complaints);
  fs::remove(file);
  fs::remove(complaints);
  if (status != 0)
    throw std::runtime_error("gnuplot (Debian's package gnuplot-nox) is not installed or failed: " +
                             said.substr(0, 300));
}

std::optional<double> Number(const std::string& text) {
  double value = 0;
  return boost::conversion::try_lexical_convert(text, value) ? std::optional(value) : std::nullopt;
}

// The runs worth a time line: ours, the oracle, and the best of the others.
std::vector<const ordered_json*> Shown(const ordered_json& runs) {
  std::vector<const ordered_json*> shown;
  for (const auto& run : runs) shown.push_back(&run);
  const auto rank = [](const ordered_json* run) {
    const std::string name = (*run)["policy"];
    return name == "ours" ? 3.0 : name == "oracle" ? 2.0 : (*run)["goodput"].get<double>();
  };
  std::stable_sort(shown.begin(), shown.end(), [&](auto* a, auto* b) { return rank(a) > rank(b); });
  // Of a rival's ways of repeating the best: their curves lie on each other.
  std::set<std::string> rivals;
  std::erase_if(shown, [&](const ordered_json* run) {
    const std::string name = (*run)["policy"];
    return !rivals.insert(name.substr(0, name.find('+'))).second;
  });
  if (shown.size() > kMostCurves) shown.resize(kMostCurves);
  return shown;
}

Chart TimeLine(const std::vector<const ordered_json*>& runs, const char* file, const char* title,
               const char* y, const std::function<double(const ordered_json&)>& figure, bool log_y) {
  Chart chart{file, title, "virtual time, s", y, {}, {}, log_y, false};
  for (const ordered_json* run : runs) {
    Curve curve{(*run)["policy"], {}};
    for (const auto& window : (*run)["windows"]) {
      const double value = figure(window);
      if (value > 0 || !log_y) curve.points.emplace_back(window["at_s"].get<double>(), value);
    }
    if (!curve.points.empty()) chart.curves.push_back(std::move(curve));
  }
  return chart;
}

}  // namespace

std::vector<Chart> ChartsOfComparison(const ordered_json& comparison) {
  const ordered_json runs =
      comparison.contains("runs") ? comparison["runs"] : ordered_json::array({comparison});
  const auto shown = Shown(runs);
  std::vector<Chart> charts;
  charts.push_back(TimeLine(
      shown, "goodput", "Goodput over time", "worth in time / worth asked",
      [](const ordered_json& w) {
        const double asked = w["asked"].get<double>();
        return asked > 0 ? w["got"].get<double>() / asked : 1.0;
      },
      false));
  for (const char* q : {"p50_ms", "p99_ms"}) {
    const std::string title =
        std::string(q) == "p50_ms" ? "Median latency of answers" : "99th percentile of answers";
    charts.push_back(TimeLine(
        shown, q, title.c_str(), "ms", [q](const ordered_json& w) { return w[q].get<double>(); }, true));
  }
  if (runs.size() < 2) return charts;
  const std::pair<const char*, const char*> figures[] = {{"goodput", "goodput"},
                                                         {"wasted_work", "share of work wasted"},
                                                         {"attempts_per_request", "attempts per request"}};
  for (const auto& [key, name] : figures) {
    Chart chart{std::string("bars-") + key,
                std::string("Policies side by side: ") + name,
                "",
                name,
                {},
                {},
                false,
                false};
    for (const auto& run : runs)
      chart.bars.emplace_back(run["policy"].get<std::string>(), run[key].get<double>());
    charts.push_back(std::move(chart));
  }
  return charts;
}

namespace {

void Append(std::string* list, const std::string& word) { *list += (list->empty() ? "" : ", ") + word; }

// How service came back, for each policy: the first varied key across, all others together down.
std::vector<Chart> HeatMaps(const std::vector<ordered_json>& results) {
  const std::tuple<const char*, const char*, double, double> figures[] = {
      {"after", "goodput in the 5 s after the trouble", 0, 1},
      {"back_s", "seconds until goodput is back", 10, 0}};
  const auto& varied = results.front()["values"];
  const std::string x_path = varied.empty() ? "" : varied.begin().key();
  std::string y_path;
  for (const auto& [path, value] : varied.items()) {
    if (path != x_path) Append(&y_path, path);
  }
  std::vector<Chart> charts;
  for (const auto& [key, name, coldest, hottest] : figures) {
    std::map<std::string, std::map<std::pair<std::string, std::string>, std::pair<double, int>>> sums;
    std::vector<std::pair<std::string, std::pair<std::string, std::string>>> order;
    for (const ordered_json& point : results) {
      if (!point["result"].contains("recovery")) continue;
      std::pair<std::string, std::string> at;
      for (const auto& [path, value] : point["values"].items())
        Append(path == x_path ? &at.first : &at.second, value.get<std::string>());
      const std::string policy = point["policy"];
      auto& [sum, n] = sums[policy][at];
      if (n == 0) order.emplace_back(policy, at);
      sum += point["result"]["recovery"][key].get<double>();
      ++n;
    }
    for (const auto& [policy, cells] : sums) {
      Chart chart{fmt::format("heat-{}-{}", policy, key),
                  fmt::format("{}: {}", policy, name),
                  x_path,
                  y_path,
                  {},
                  {}};
      chart.coldest = std::min(coldest, hottest), chart.hottest = std::max(coldest, hottest);
      chart.high_is_good = coldest < hottest;
      for (const auto& [of, at] : order) {
        if (of != policy) continue;
        const auto& [sum, n] = cells.at(at);
        chart.cells.push_back({at.first, at.second, sum / n});
      }
      charts.push_back(std::move(chart));
    }
  }
  return charts;
}

}  // namespace

std::vector<Chart> ChartsOfSweep(const std::vector<ordered_json>& results) {
  std::string x_path;
  for (const auto& [path, value] : results.front()["values"].items()) {
    if (x_path.empty() && Number(value.get<std::string>())) x_path = path;
  }
  if (x_path.empty()) throw std::runtime_error("none of the varied keys is a number: nothing to draw over");
  const std::pair<const char*, const char*> figures[] = {{"goodput", "worth in time / worth asked"},
                                                         {"p50_ms", "median latency, ms"},
                                                         {"p99_ms", "99th percentile, ms"},
                                                         {"attempts_per_request", "attempts per request"},
                                                         {"wasted_work", "share of work wasted"}};
  std::vector<Chart> charts;
  for (const auto& [key, name] : figures) {
    const bool latency = std::string(key).ends_with("_ms");
    Chart chart{std::string("sweep-") + key,
                std::string(name) + " over " + x_path,
                x_path,
                name,
                {},
                {},
                latency,
                false};
    std::map<std::string, std::map<double, std::pair<double, int>>> sums;
    std::vector<std::string> order;
    for (const auto& point : results) {
      std::string curve = point["policy"];
      for (const auto& [path, value] : point["values"].items()) {
        if (path != x_path) curve += " " + path + "=" + value.get<std::string>();
      }
      if (!sums.contains(curve)) order.push_back(curve);
      auto& [sum, n] = sums[curve][*Number(point["values"][x_path].get<std::string>())];
      sum += point["result"][key].get<double>();
      ++n;
    }
    const auto& first = sums[order.front()];
    chart.log_x = first.begin()->first > 0 && first.rbegin()->first >= 100 * first.begin()->first;
    for (const std::string& curve : order) {
      Curve drawn{curve, {}};
      for (const auto& [x, of] : sums[curve]) {
        if (of.first > 0 || !latency) drawn.points.emplace_back(x, of.first / of.second);
      }
      if (!drawn.points.empty()) chart.curves.push_back(std::move(drawn));
    }
    charts.push_back(std::move(chart));
  }
  for (Chart& chart : HeatMaps(results)) charts.push_back(std::move(chart));
  return charts;
}

std::string WriteCharts(const std::vector<Chart>& charts, const std::string& title, const std::string& table,
                        const std::string& folder) {
  fs::create_directories(folder);
  std::string page = fmt::format(
      "<!doctype html>\n<html lang=\"en\"><head><meta "
      "charset=\"utf-8\"><title>{0}</title>\n<style>body{{font:15px/1.5 "
      "Helvetica,Arial,sans-serif;max-width:900px;margin:2em auto;padding:0 "
      "1em;color:#222}}pre{{font-size:12px;"
      "overflow-x:auto;background:#f6f6f6;padding:1em}}svg{{max-width:100%;height:auto}}</style></"
      "head>\n<body><h1>{0}</h1>\n",
      EscapedForHtml(title));
  if (!table.empty()) page += "<pre>" + EscapedForHtml(table) + "</pre>\n";
  for (const Chart& chart : charts) {
    if (chart.curves.empty() && chart.bars.empty() && chart.cells.empty()) continue;
    const fs::path svg = fs::path(folder) / (chart.file + ".svg");
    Gnuplot(svg, Script(chart, svg.string()));
    std::string drawn = Contents(svg);
    const std::size_t begins = drawn.find("<svg");
    if (begins == std::string::npos) throw std::runtime_error("gnuplot drew no picture: " + svg.string());
    page += drawn.substr(begins) + "\n";
  }
  page += "</body></html>\n";
  const fs::path path = fs::path(folder) / "report.html";
  std::ofstream out(path, std::ios::binary);
  out << page;
  if (!out.flush()) throw std::runtime_error("cannot write " + path.string());
  return path.string();
}

}  // namespace copperpoint::simulation
