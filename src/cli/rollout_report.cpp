// SPDX-License-Identifier: Apache-2.0
#include "cli/rollout_report.h"

#include <fmt/format.h>

#include <algorithm>

namespace copperpoint::cli {
namespace {

using Json = nlohmann::ordered_json;

// Position and size of the plot, in units of the SVG's viewBox.
constexpr double kPlotLeft = 10;
constexpr double kPlotWidth = 880;
constexpr double kPlotBottom = 200;
constexpr double kPlotHeight = 180;

std::string Escaped(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '&') {
      out += "&amp;";
    } else if (c == '<') {
      out += "&lt;";
    } else if (c == '>') {
      out += "&gt;";
    } else {
      out += c;
    }
  }
  return out;
}

std::string Head(const std::string& name) {
  return fmt::format(
      "<!doctype html>\n<html lang=\"en\"><head><meta "
      "charset=\"utf-8\"><title>{0}</title><style>body{{font:15px/1.5 "
      "Helvetica,Arial,sans-serif;max-width:1000px;margin:2em auto;padding:0 "
      "1em;color:#222}}table{{border-collapse:"
      "collapse}}td,th{{padding:.2em .8em;text-align:left;border-bottom:1px solid "
      "#ddd}}</style></head><body><h1>{0}</h1>\n",
      Escaped(name));
}

std::string Summary(const Json& change) {
  return fmt::format("<p>{} to {}, {}; {} of {} members may have changed. Started by {}.</p>\n",
                     Escaped(change.value("from", "")), Escaped(change.value("to", "")),
                     Escaped(change.value("course", "")), change.value("may_have_changed", 0),
                     change.value("members", 0), Escaped(change.value("by", "")));
}

// Plots how many members may have changed, over time.
std::string Plot(const Json& steps) {
  double last_s = 1;
  double max_members = 1;
  for (const auto& step : steps) {
    last_s = std::max(last_s, step.value("at_s", 0.0));
    max_members = std::max(max_members, step.value("prefix", 0.0));
  }
  const auto y_of = [&](double members) { return kPlotBottom - kPlotHeight * members / max_members; };
  std::string svg =
      "<svg viewBox=\"0 0 900 220\" width=\"900\"><polyline fill=\"none\" stroke=\"#06c\" stroke-width=\"2\" "
      "points=\"";
  double previous = 0;
  for (const auto& step : steps) {
    const double members = step.value("prefix", 0.0);
    const double x = kPlotWidth * step.value("at_s", 0.0) / last_s + kPlotLeft;
    svg += fmt::format("{:.1f},{:.1f} {:.1f},{:.1f} ", x, y_of(previous), x, y_of(members));
    previous = members;
  }
  return svg + fmt::format(
                   "\"/><text x=\"10\" y=\"215\" font-size=\"12\">0 s to {:.0f} s; up to {:.0f} "
                   "members</text></svg>\n",
                   last_s, max_members);
}

std::string Table(const Json& steps) {
  std::string table = "<table><tr><th>after</th><th>what</th><th>members</th><th>why</th><th>by</th></tr>\n";
  for (const auto& step : steps) {
    table += fmt::format("<tr><td>{:.1f} s</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>\n",
                         step.value("at_s", 0.0), Escaped(step.value("what", "")), step.value("prefix", 0),
                         Escaped(step.value("why", "")), Escaped(step.value("by", "")));
  }
  return table + "</table>";
}

}  // namespace

std::string RolloutReport(const nlohmann::ordered_json& status, const nlohmann::ordered_json& steps) {
  const Json change = status.value("change", Json::object());
  const bool has_change = change.is_object();
  std::string page = Head(has_change ? change.value("name", "no change") : "no change");
  if (has_change) page += Summary(change);
  return page + Plot(steps) + Table(steps) + "</body></html>\n";
}

}  // namespace copperpoint::cli
