// SPDX-License-Identifier: Apache-2.0
#include "cli/rollout_report.h"

#include <fmt/format.h>

namespace copperpoint::cli {
namespace {

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

}  // namespace

std::string RolloutReport(const nlohmann::ordered_json& status, const nlohmann::ordered_json& steps) {
  const auto change = status.value("change", nlohmann::ordered_json::object());
  const std::string name = change.is_object() ? change.value("name", "no change") : "no change";
  std::string page = fmt::format(
      "<!doctype html>\n<html lang=\"en\"><head><meta "
      "charset=\"utf-8\"><title>{0}</title><style>body{{font:15px/1.5 "
      "Helvetica,Arial,sans-serif;max-width:1000px;margin:2em auto;padding:0 "
      "1em;color:#222}}table{{border-collapse:"
      "collapse}}td,th{{padding:.2em .8em;text-align:left;border-bottom:1px solid "
      "#ddd}}</style></head><body><h1>{0}</h1>\n",
      Escaped(name));
  if (change.is_object())
    page += fmt::format("<p>{} to {}, {}; {} of {} members may have run it. Begun at {}.</p>\n",
                        Escaped(change.value("from", "")), Escaped(change.value("to", "")),
                        Escaped(change.value("course", "")), change.value("may_have_changed", 0),
                        change.value("members", 0), Escaped(change.value("by", "")));
  double last = 1, most = 1;
  for (const auto& step : steps) {
    last = std::max(last, step.value("at_s", 0.0));
    most = std::max(most, step.value("prefix", 0.0));
  }
  // How many members could have changed, over time.
  page +=
      "<svg viewBox=\"0 0 900 220\" width=\"900\"><polyline fill=\"none\" stroke=\"#06c\" stroke-width=\"2\" "
      "points=\"";
  double before = 0;
  for (const auto& step : steps) {
    const double x = 880 * step.value("at_s", 0.0) / last + 10,
                 y = 200 - 180 * step.value("prefix", 0.0) / most;
    page += fmt::format("{:.1f},{:.1f} {:.1f},{:.1f} ", x, 200 - 180 * before / most, x, y);
    before = step.value("prefix", 0.0);
  }
  page += fmt::format(
      "\"/><text x=\"10\" y=\"215\" font-size=\"12\">0 s to {:.0f} s; up to {:.0f} members</text></svg>\n",
      last, most);
  page += "<table><tr><th>after</th><th>what</th><th>members</th><th>why</th><th>by</th></tr>\n";
  for (const auto& step : steps)
    page += fmt::format("<tr><td>{:.1f} s</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>\n",
                        step.value("at_s", 0.0), Escaped(step.value("what", "")), step.value("prefix", 0),
                        Escaped(step.value("why", "")), Escaped(step.value("by", "")));
  return page + "</table></body></html>\n";
}

}  // namespace copperpoint::cli
