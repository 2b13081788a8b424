// SPDX-License-Identifier: Apache-2.0
#include "simulation/run/sweep.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/lexical_cast.hpp>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <mutex>
#include <optional>
#include <stdexcept>

#include "config/edit.h"
#include "config/read.h"
#include "simulation/report/recovery.h"
#include "simulation/run/compare.h"
#include "simulation/run/run.h"

namespace copperpoint::simulation {
namespace {

namespace fs = std::filesystem;
using nlohmann::ordered_json;

constexpr std::size_t kMostPoints = 1000000;

struct Point {
  std::vector<std::string> values;  // of each varied key
  std::string policy;
  std::uint64_t seed = 1;
};

std::vector<Point> PointsOf(const SweepPlan& plan) {
  std::vector<std::vector<std::string>> combinations{{}};
  for (const Varied& varied : plan.varied) {
    std::vector<std::vector<std::string>> longer;
    for (const auto& combination : combinations) {
      for (const std::string& value : varied.values) {
        longer.push_back(combination);
        longer.back().push_back(value);
      }
    }
    combinations = std::move(longer);
    if (combinations.size() > kMostPoints) throw std::invalid_argument("the sweep has over a million points");
  }
  std::vector<Point> points;
  for (const auto& values : combinations) {
    for (const std::string& policy : plan.policies) {
      for (const std::uint64_t seed : plan.seeds) points.push_back({values, policy, seed});
    }
  }
  return points;
}

ordered_json PlanJson(const SweepPlan& plan) {
  ordered_json json{{"scenario", plan.scenario_text}, {"policies", plan.policies}, {"seeds", plan.seeds}};
  auto& varied = json["varied"] = ordered_json::array();
  for (const Varied& v : plan.varied) varied.push_back({{"path", v.path}, {"values", v.values}});
  return json;
}

std::string ChecksumOf(const ordered_json& body) {
  const std::string text = body.dump();
  return fmt::format("{:016x}", static_cast<std::uint64_t>(XXH64(text.data(), text.size(), 0)));
}

std::string NameOf(std::size_t index) { return fmt::format("point-{:07}.json", index); }

// In one step: a file that is there is whole, unless the disk has torn it.
void WritePoint(const fs::path& path, const ordered_json& body) {
  const fs::path fresh = path.string() + ".new";
  {
    std::ofstream out(fresh, std::ios::binary);
    out << ordered_json{{"checksum", ChecksumOf(body)}, {"body", body}}.dump() << '\n';
    if (!out.flush()) throw std::runtime_error("cannot write " + fresh.string());
  }
  fs::rename(fresh, path);
}

// Nothing if it is not there or torn.
std::optional<ordered_json> ReadPoint(const fs::path& path) {
  std::ifstream in(path, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
  const auto json = ordered_json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object() || !json.contains("checksum") || !json.contains("body")) return std::nullopt;
  if (json["checksum"] != ChecksumOf(json["body"])) return std::nullopt;
  return json["body"];
}

std::string TextOf(const SweepPlan& plan, const Point& point) {
  std::string text = plan.scenario_text;
  for (std::size_t i = 0; i < plan.varied.size(); ++i)
    text = config::WithKey(text, plan.scenario_file, plan.varied[i].path, point.values[i]);
  return text;
}

struct Played {
  ordered_json body;
  std::uint64_t events = 0;
  double busy_s = 0;
};

Played RunPoint(const SweepPlan& plan, const Point& point) {
  const auto scenario = config::ReadFrom<Scenario>(TextOf(plan, point), plan.scenario_file);
  RunOptions options;
  options.policy = point.policy;
  options.seed = point.seed;
  ordered_json values = ordered_json::object();
  for (std::size_t i = 0; i < plan.varied.size(); ++i) values[plan.varied[i].path] = point.values[i];
  const RunResult result = Run(scenario, options);
  return {{{"values", values}, {"policy", point.policy}, {"seed", point.seed}, {"result", result.json}},
          result.events,
          result.wall_s};
}

void CheckScenarios(const SweepPlan& plan, const std::vector<Point>& points) {
  const std::vector<std::string>* checked = nullptr;  // points with the same values follow each other
  for (const Point& point : points) {
    if (checked && *checked == point.values) continue;
    config::ReadFrom<Scenario>(TextOf(plan, point), plan.scenario_file);
    checked = &point.values;
  }
}

}  // namespace

Varied ParseVaried(const std::string& text) {
  const std::size_t equals = text.find('=');
  if (equals == std::string::npos || equals == 0 || equals + 1 == text.size())
    throw std::invalid_argument(fmt::format("'{}': KEY=FIRST:LAST:STEP or KEY=VALUE,VALUE is wanted", text));
  Varied varied;
  varied.path = text.substr(0, equals);
  const std::string rest = text.substr(equals + 1);
  std::vector<std::string> parts;
  boost::algorithm::split(parts, rest, boost::algorithm::is_any_of(":"));
  if (parts.size() != 3) {
    boost::algorithm::split(varied.values, rest, boost::algorithm::is_any_of(","));
    return varied;
  }
  try {
    const auto first = boost::lexical_cast<double>(parts[0]), last = boost::lexical_cast<double>(parts[1]);
    const auto step = boost::lexical_cast<double>(parts[2]);
    if (!(step > 0) || !(last >= first) || (last - first) / step > 1e5) throw boost::bad_lexical_cast();
    const auto steps = static_cast<int>(std::floor((last - first) / step + 1e-9));
    for (int k = 0; k <= steps; ++k) varied.values.push_back(fmt::format("{:.10g}", first + k * step));
  } catch (const boost::bad_lexical_cast&) {
    throw std::invalid_argument(
        fmt::format("'{}': FIRST:LAST:STEP must be numbers that lead somewhere", text));
  }
  return varied;
}

SweepReport Sweep(const SweepPlan& plan, const std::string& folder, unsigned threads,
                  const std::function<void(std::size_t, std::size_t)>& progress) {
  const std::vector<Point> points = PointsOf(plan);
  CheckScenarios(plan, points);
  fs::create_directories(folder);
  const fs::path plan_file = fs::path(folder) / "plan.json";
  const ordered_json plan_json = PlanJson(plan);
  if (const auto before = ReadPoint(plan_file)) {
    if (*before != plan_json) throw std::invalid_argument(folder + " holds another sweep");
  } else {
    WritePoint(plan_file, plan_json);
  }
  SweepReport report;
  report.points = points.size();
  std::vector<std::size_t> todo;
  const auto count = [&](const ordered_json& body) {
    if (body["policy"] == "ours") report.broken += body["result"]["rules_broken"].get<std::int64_t>();
  };
  for (std::size_t i = 0; i < points.size(); ++i) {
    const fs::path path = fs::path(folder) / NameOf(i);
    const bool there = fs::exists(path);
    if (const auto body = there ? ReadPoint(path) : std::nullopt) {
      ++report.done_before;
      count(*body);
    } else {
      report.torn += there;
      todo.push_back(i);
    }
  }
  std::mutex mutex;
  std::size_t done = report.done_before;
  InParallel(todo.size(), threads, [&](std::size_t k) {
    const Played played = RunPoint(plan, points[todo[k]]);
    WritePoint(fs::path(folder) / NameOf(todo[k]), played.body);
    const std::lock_guard lock(mutex);
    count(played.body);
    report.events += played.events;
    report.busy_s += played.busy_s;
    if (progress) progress(++done, points.size());
  });
  return report;
}

std::vector<ordered_json> ReadSweep(const std::string& folder) {
  const auto plan = ReadPoint(fs::path(folder) / "plan.json");
  if (!plan) throw std::runtime_error(folder + " holds no sweep");
  std::size_t points = (*plan)["policies"].size() * (*plan)["seeds"].size();
  for (const auto& varied : (*plan)["varied"]) points *= varied["values"].size();
  std::vector<ordered_json> results;
  for (std::size_t i = 0; i < points; ++i) {
    auto body = ReadPoint(fs::path(folder) / NameOf(i));
    if (!body)
      throw std::runtime_error(
          fmt::format("{}/{} is missing or torn: run the sweep again", folder, NameOf(i)));
    results.push_back(std::move(*body));
  }
  return results;
}

namespace {

std::string RecoveryTable(const std::vector<ordered_json>& results,
                          const std::vector<std::string>& policies) {
  std::string table;
  for (const std::string& policy : policies) {
    int runs = 0, back = 0;
    double after = 0, attempts = 0;
    for (const ordered_json& point : results) {
      const ordered_json& result = point["result"];
      if (point["policy"] != policy || !result.contains("recovery")) continue;
      const ordered_json& recovery = result["recovery"];
      ++runs;
      back += recovery["back"].get<bool>() && recovery["back_s"].get<double>() <= Recovery::kAfterS;
      after += recovery["after"].get<double>();
      attempts += result["attempts_per_request"].get<double>();
    }
    if (runs == 0) continue;
    table += fmt::format(
        "{}: back within {:.0f} s in {} of {} runs; goodput of that time {:.4f}; attempts per request "
        "{:.3f}\n",
        policy, Recovery::kAfterS, back, runs, after / runs, attempts / runs);
  }
  return table;
}

}  // namespace

std::string SweepTable(const std::vector<ordered_json>& results) {
  struct Sum {
    double goal = 0;
    int runs = 0;
    double Mean() const { return goal / runs; }
  };
  std::vector<std::string> lines, policies;
  std::map<std::pair<std::string, std::string>, Sum> cells;
  const auto add = [](std::vector<std::string>* to, const std::string& name) {
    if (std::find(to->begin(), to->end(), name) == to->end()) to->push_back(name);
  };
  for (const ordered_json& point : results) {
    std::string values;
    for (const auto& [path, value] : point["values"].items())
      values += fmt::format("{}{}={}", values.empty() ? "" : " ", path, value.get<std::string>());
    if (values.empty()) values = "seeds";
    const auto policy = point["policy"].get<std::string>();
    add(&lines, values);
    add(&policies, policy);
    Sum& sum = cells[{values, policy}];
    const ordered_json& result = point["result"];
    sum.goal += result.value("goal", result["goodput"].get<double>());
    ++sum.runs;
  }
  std::size_t width = 8;
  for (const std::string& line : lines) width = std::max(width, line.size());
  std::string table = fmt::format("{:{}}", "goal", width);
  for (const std::string& policy : policies) table += fmt::format("  {:>10}", policy);
  const bool ranked = std::count(policies.begin(), policies.end(), "ours") > 0 &&
                      std::count(policies.begin(), policies.end(), "oracle") > 0;
  table += ranked ? "   of oracle\n" : "\n";
  for (const std::string& line : lines) {
    table += fmt::format("{:{}}", line, width);
    for (const std::string& policy : policies)
      table += fmt::format("  {:10.4f}", cells[{line, policy}].Mean());
    if (ranked) {
      const double top = cells[{line, "oracle"}].Mean();
      table += fmt::format("  {:10.4f}", top > 0 ? cells[{line, "ours"}].Mean() / top : 1);
    }
    table += '\n';
  }
  return table + RecoveryTable(results, policies);
}

}  // namespace copperpoint::simulation
