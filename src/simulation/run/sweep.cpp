// SPDX-License-Identifier: Apache-2.0
#include "simulation/run/sweep.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/lexical_cast.hpp>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <utility>

#include "config/edit.h"
#include "config/read.h"
#include "simulation/run/parallel.h"
#include "simulation/run/run.h"

namespace copperpoint::simulation {
namespace {

namespace fs = std::filesystem;
using nlohmann::ordered_json;

constexpr std::size_t kMaxPoints = 1000000;
constexpr double kMaxSteps = 1e5;       // in one range
constexpr double kStepRounding = 1e-9;  // in steps: includes the last value despite rounding errors
constexpr std::size_t kRangeParts = 3;  // first, last, step

struct Point {
  std::vector<std::string> values;  // one for each varied key
  std::string policy;
  std::uint64_t seed = 1;
};

std::vector<Point> AllPoints(const SweepPlan& plan) {
  std::vector<std::vector<std::string>> combinations{{}};
  for (const VariedKey& varied : plan.varied) {
    std::vector<std::vector<std::string>> longer;
    for (const auto& combination : combinations) {
      for (const std::string& value : varied.values) {
        longer.push_back(combination);
        longer.back().push_back(value);
      }
    }
    combinations = std::move(longer);
    if (combinations.size() > kMaxPoints)
      throw std::invalid_argument("the varied keys have more than 1000000 combinations of values");
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
  for (const VariedKey& v : plan.varied) varied.push_back({{"path", v.path}, {"values", v.values}});
  return json;
}

std::string ChecksumOf(const ordered_json& body) {
  const std::string text = body.dump();
  return fmt::format("{:016x}", static_cast<std::uint64_t>(XXH64(text.data(), text.size(), 0)));
}

std::string FileNameOf(std::size_t index) { return fmt::format("point-{:07}.json", index); }

// Writes a temporary file and renames it, so that a file of the final name is complete unless the disk has
// corrupted it.
void WritePoint(const fs::path& path, const ordered_json& body) {
  const fs::path temporary = path.string() + ".new";
  {
    std::ofstream out(temporary, std::ios::binary);
    out << ordered_json{{"checksum", ChecksumOf(body)}, {"body", body}}.dump() << '\n';
    if (!out.flush()) throw std::runtime_error("cannot write " + temporary.string());
  }
  fs::rename(temporary, path);
}

// Returns nothing if the file is missing or corrupted.
std::optional<ordered_json> ReadPoint(const fs::path& path) {
  std::ifstream in(path, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
  const auto json = ordered_json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object() || !json.contains("checksum") || !json.contains("body")) return std::nullopt;
  if (json["checksum"] != ChecksumOf(json["body"])) return std::nullopt;
  return json["body"];
}

std::string ScenarioTextOf(const SweepPlan& plan, const Point& point) {
  std::string text = plan.scenario_text;
  for (std::size_t i = 0; i < plan.varied.size(); ++i)
    text = config::SetKey(text, plan.scenario_file, plan.varied[i].path, point.values[i]);
  return text;
}

struct PointResult {
  ordered_json body;
  std::uint64_t events = 0;
  double busy_s = 0;
};

PointResult RunPoint(const SweepPlan& plan, const Point& point) {
  const auto scenario = config::LoadText<Scenario>(ScenarioTextOf(plan, point), plan.scenario_file);
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
  const std::vector<std::string>* checked = nullptr;  // points with the same values are adjacent
  for (const Point& point : points) {
    if (checked && *checked == point.values) continue;
    config::LoadText<Scenario>(ScenarioTextOf(plan, point), plan.scenario_file);
    checked = &point.values;
  }
}

// `range` has the first value, the last value and the step; `text` is the whole argument, for the error.
// Throws std::invalid_argument.
std::vector<std::string> ValuesOfRange(const std::string& text, const std::vector<std::string>& range) {
  std::vector<std::string> values;
  try {
    const auto first = boost::lexical_cast<double>(range[0]);
    const auto last = boost::lexical_cast<double>(range[1]);
    const auto step = boost::lexical_cast<double>(range[2]);
    if (!(step > 0) || !(last >= first) || (last - first) / step > kMaxSteps) throw boost::bad_lexical_cast();
    const auto steps = static_cast<int>(std::floor((last - first) / step + kStepRounding));
    for (int k = 0; k <= steps; ++k) values.push_back(fmt::format("{:.10g}", first + k * step));
  } catch (const boost::bad_lexical_cast&) {
    throw std::invalid_argument(fmt::format(
        "'{}': expected numbers FIRST:LAST:STEP with FIRST <= LAST, STEP > 0 and at most 100000 steps",
        text));
  }
  return values;
}

// Writes the plan into the folder. If the folder already has one, it must be equal; otherwise this throws
// std::invalid_argument.
void PrepareFolder(const SweepPlan& plan, const std::string& folder) {
  fs::create_directories(folder);
  const fs::path plan_file = fs::path(folder) / "plan.json";
  const ordered_json plan_json = PlanJson(plan);
  const auto previous = ReadPoint(plan_file);
  if (!previous) {
    WritePoint(plan_file, plan_json);
  } else if (*previous != plan_json) {
    throw std::invalid_argument(folder +
                                ": contains a sweep with another scenario, policies, seeds or varied keys; "
                                "expected an empty folder or one of the same sweep");
  }
}

std::int64_t ViolationsOf(const ordered_json& body) {
  return body["policy"] == "ours" ? body["result"]["rules_broken"].get<std::int64_t>() : 0;
}

// Returns the indices of the points without a result; counts the other points in `report`.
std::vector<std::size_t> FindMissing(const std::string& folder, SweepReport* report) {
  std::vector<std::size_t> missing;
  for (std::size_t i = 0; i < report->points; ++i) {
    const fs::path path = fs::path(folder) / FileNameOf(i);
    const bool exists = fs::exists(path);
    if (const auto body = exists ? ReadPoint(path) : std::nullopt) {
      ++report->reused;
      report->violations += ViolationsOf(*body);
    } else {
      report->corrupted += exists;
      missing.push_back(i);
    }
  }
  return missing;
}

}  // namespace

VariedKey ParseVariedKey(const std::string& text) {
  const std::size_t equals = text.find('=');
  if (equals == std::string::npos || equals == 0 || equals + 1 == text.size())
    throw std::invalid_argument(fmt::format("'{}': expected KEY=FIRST:LAST:STEP or KEY=VALUE,VALUE", text));
  VariedKey varied;
  varied.path = text.substr(0, equals);
  const std::string values = text.substr(equals + 1);
  std::vector<std::string> range;
  boost::algorithm::split(range, values, boost::algorithm::is_any_of(":"));
  if (range.size() == kRangeParts) {
    varied.values = ValuesOfRange(text, range);
  } else {
    boost::algorithm::split(varied.values, values, boost::algorithm::is_any_of(","));
  }
  return varied;
}

SweepReport Sweep(const SweepPlan& plan, const std::string& folder, unsigned threads,
                  const std::function<void(std::size_t, std::size_t)>& progress) {
  const std::vector<Point> points = AllPoints(plan);
  CheckScenarios(plan, points);
  PrepareFolder(plan, folder);
  SweepReport report;
  report.points = points.size();
  const std::vector<std::size_t> missing = FindMissing(folder, &report);
  std::mutex mutex;
  std::size_t done = report.reused;
  RunInParallel(missing.size(), threads, [&](std::size_t k) {
    const PointResult point_result = RunPoint(plan, points[missing[k]]);
    WritePoint(fs::path(folder) / FileNameOf(missing[k]), point_result.body);
    const std::lock_guard lock(mutex);
    report.violations += ViolationsOf(point_result.body);
    report.events += point_result.events;
    report.busy_s += point_result.busy_s;
    if (progress) progress(++done, points.size());
  });
  return report;
}

std::vector<ordered_json> ReadSweep(const std::string& folder) {
  const auto plan = ReadPoint(fs::path(folder) / "plan.json");
  if (!plan)
    throw std::runtime_error(folder + ": plan.json is missing or corrupted; expected the folder of a sweep");
  std::size_t points = (*plan)["policies"].size() * (*plan)["seeds"].size();
  for (const auto& varied : (*plan)["varied"]) points *= varied["values"].size();
  std::vector<ordered_json> results;
  for (std::size_t i = 0; i < points; ++i) {
    auto body = ReadPoint(fs::path(folder) / FileNameOf(i));
    if (!body)
      throw std::runtime_error(
          fmt::format("{}/{}: is missing or corrupted; run the sweep again", folder, FileNameOf(i)));
    results.push_back(std::move(*body));
  }
  return results;
}

}  // namespace copperpoint::simulation
