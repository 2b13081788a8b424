// SPDX-License-Identifier: Apache-2.0
#include "simulation/report/plot.h"

#include <fmt/format.h>

#include <boost/algorithm/string/replace.hpp>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

#include "simulation/report/gnuplot.h"

namespace copperpoint::simulation {
namespace {

namespace fs = std::filesystem;

std::string EscapedForHtml(std::string text) {
  boost::algorithm::replace_all(text, "&", "&amp;");
  boost::algorithm::replace_all(text, "<", "&lt;");
  return text;
}

std::string PageHead(const std::string& title) {
  return fmt::format(
      "<!doctype html>\n<html lang=\"en\"><head><meta "
      "charset=\"utf-8\"><title>{0}</title>\n<style>body{{font:15px/1.5 "
      "Helvetica,Arial,sans-serif;max-width:900px;margin:2em auto;padding:0 "
      "1em;color:#222}}pre{{font-size:12px;"
      "overflow-x:auto;background:#f6f6f6;padding:1em}}svg{{max-width:100%;height:auto}}</style></"
      "head>\n<body><h1>{0}</h1>\n",
      EscapedForHtml(title));
}

// Returns the SVG element without the XML declaration and document type that precede it in the file.
std::string ReadSvgElement(const fs::path& svg) {
  std::ifstream in(svg, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
  const std::size_t start = text.find("<svg");
  if (start == std::string::npos)
    throw std::runtime_error("gnuplot wrote no <svg> element into " + svg.string());
  return text.substr(start);
}

}  // namespace

std::string WriteCharts(const std::vector<Chart>& charts, const std::string& title, const std::string& table,
                        const std::string& folder) {
  fs::create_directories(folder);
  std::string page = PageHead(title);
  if (!table.empty()) page += "<pre>" + EscapedForHtml(table) + "</pre>\n";
  for (const Chart& chart : charts) {
    if (chart.curves.empty() && chart.bars.empty() && chart.cells.empty()) continue;
    const fs::path svg = fs::path(folder) / (chart.file + ".svg");
    DrawWithGnuplot(chart, svg);
    page += ReadSvgElement(svg) + "\n";
  }
  page += "</body></html>\n";
  const fs::path path = fs::path(folder) / "report.html";
  std::ofstream out(path, std::ios::binary);
  out << page;
  if (!out.flush()) throw std::runtime_error("cannot write " + path.string());
  return path.string();
}

}  // namespace copperpoint::simulation
